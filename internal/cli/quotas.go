package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/admin"
)

func quotasCommand(out IO) *ff.Command {
	return showCommand(out, "quotas", "show the table's customers, their limits, and their requests at one sidecar", admin.PathQuotas, printQuotas)
}

func printQuotas(w io.Writer, raw []byte) error {
	var rows []admin.CustomerQuota
	if err := json.Unmarshal(raw, &rows); err != nil {
		return errors.Wrap(err, "quotas")
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "CUSTOMER\tKEYS\tRATE\tBURST\tHOME\tTOKENS THERE\tTAKEN HERE\tREFUSED HERE")
	for _, r := range rows {
		rate, tokens := "any", "-"
		if r.Rate > 0 {
			rate = strconv.FormatFloat(r.Rate, 'g', -1, 64)
		}
		if r.Tokens != 0 {
			tokens = strconv.FormatFloat(r.Tokens, 'f', 0, 64)
		}
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%s\t%g\t%s\t%s\t%d\t%d\n", r.Customer, r.Keys, rate, r.Burst, dash(r.Owner), tokens, r.Admitted, r.Refused)
	}
	return tw.Flush()
}
