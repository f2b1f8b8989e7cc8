package standin

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/table"
)

// Group is one service of a layout.
type Group struct {
	Service    string
	Targets    int
	Slots      int
	Work       time.Duration
	Kind       string
	KindWeight float64
	Prefix     string
	Idempotent bool
}

// Layout describes a deployment.
type Layout struct {
	Name    string
	Region  string
	Centres []string
	Groups  []Group
}

// Slots of one target, from the brief's sizes of today.
const (
	kerblineSlots = 12
	kestrelSlots  = 18
)

// Kerbline returns the parking deployment at its size of today.
func Kerbline() Layout {
	return Layout{
		Name: "kerbline", Region: "scotland", Centres: []string{"glasgow-1", "glasgow-2", "edinburgh-1"},
		Groups: []Group{
			{"tariff", 6, kerblineSlots, 10 * time.Millisecond, "lookup", 1, "/tariff", true},
			{"payments", 4, kerblineSlots, 25 * time.Millisecond, "payment", 5, "/payments", false},
			{"enforcement", 3, kerblineSlots, 20 * time.Millisecond, "permit", 3, "/enforcement", true},
		},
	}
}

// KestrelBrook returns the lending deployment at its size of today.
func KestrelBrook() Layout {
	return Layout{
		Name: "kestrel", Region: "western-australia", Centres: []string{"perth-1", "perth-2", "bunbury-1"},
		Groups: []Group{
			{"statements", 6, kestrelSlots, 10 * time.Millisecond, "statement", 1, "/statements", true},
			{"ledger", 4, kestrelSlots, 25 * time.Millisecond, "drawdown", 5, "/ledger", false},
			{"intake", 3, kestrelSlots, 40 * time.Millisecond, "paper", 2, "/intake", true},
		},
	}
}

// Synthetic returns a layout with the given numbers, for measurements.
func Synthetic(targets, services, centres, regions int) []Placement {
	var out []Placement
	for i := range targets {
		dc := i % centres
		out = append(out, Placement{
			Name:       fmt.Sprintf("s%03d-%04d", i%services, i),
			Service:    fmt.Sprintf("s%03d", i%services),
			DataCentre: fmt.Sprintf("dc%02d", dc),
			Region:     fmt.Sprintf("r%d", dc%regions),
		})
	}
	return out
}

// Placement is one target of a layout in its place.
type Placement struct {
	Name, Service, DataCentre, Region string
	Group                             Group
}

// Placements spreads the targets of each service over the data centres.
func (l Layout) Placements() []Placement {
	var out []Placement
	for g, group := range l.Groups {
		for i := range group.Targets {
			out = append(out, Placement{
				Name:       fmt.Sprintf("%s-%d", group.Service, i+1),
				Service:    group.Service,
				DataCentre: l.Centres[(g+i)%len(l.Centres)],
				Region:     l.Region,
				Group:      group,
			})
		}
	}
	return out
}

// Table returns the layout as the first edition of a table.
func (l Layout) Table() []byte {
	w := newTableWriter()
	for _, g := range l.Groups {
		w.row(table.RowService, g.Service, nil)
	}
	for _, p := range l.Placements() {
		w.row(table.RowUpstream, p.Name, cellsOf{table.ColService: p.Service, table.ColWeight: "1", table.ColConcurrency: strconv.Itoa(p.Group.Slots)})
	}
	for _, g := range l.Groups {
		w.row(table.RowRoute, g.Service, cellsOf{
			table.ColService: g.Service, table.ColPrefix: g.Prefix, table.ColKind: g.Kind,
			table.ColKindWeight: strconv.FormatFloat(g.KindWeight, 'g', -1, 64),
			table.ColTimeout:    "2000", table.ColRetries: "1", table.ColIdempotent: yesNo(g.Idempotent),
		})
	}
	return w.bytes()
}

// SyntheticTable returns a table for placements without groups: one idempotent
// route for each service.
func SyntheticTable(all []Placement) []byte {
	w := newTableWriter()
	seen := make(map[string]bool)
	for _, p := range all {
		if !seen[p.Service] {
			seen[p.Service] = true
			w.row(table.RowService, p.Service, nil)
			w.row(table.RowRoute, p.Service, cellsOf{table.ColService: p.Service, table.ColPrefix: "/" + p.Service,
				table.ColKind: "call", table.ColIdempotent: yesNo(true), table.ColTimeout: "2000"})
		}
		w.row(table.RowUpstream, p.Name, cellsOf{table.ColService: p.Service, table.ColWeight: "1", table.ColConcurrency: "12"})
	}
	return w.bytes()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// cellsOf holds the filled cells of a row besides its type and name.
type cellsOf map[table.Column]string

type tableWriter struct {
	buf bytes.Buffer
	csv *csv.Writer
}

func newTableWriter() *tableWriter {
	w := &tableWriter{}
	w.csv = csv.NewWriter(&w.buf)
	head := make([]string, len(table.Header))
	for i, c := range table.Header {
		head[i] = string(c)
	}
	_ = w.csv.Write(head)
	w.row(table.RowTable, "1", nil)
	return w
}

func (w *tableWriter) row(kind table.RowType, name string, cells cellsOf) {
	rec := make([]string, len(table.Header))
	for i, c := range table.Header {
		rec[i] = cells[c]
	}
	rec[0], rec[1] = string(kind), name
	_ = w.csv.Write(rec)
}

func (w *tableWriter) bytes() []byte {
	w.csv.Flush()
	return w.buf.Bytes()
}

// List encodes the instance list of placements at the given peer addresses.
func List(revision uint64, all []Placement, peers map[string]netip.AddrPort) []byte {
	l := membership.List{Revision: revision}
	for _, p := range all {
		addr, ok := peers[p.Name]
		if !ok {
			continue
		}
		l.Instances = append(l.Instances, membership.Instance{
			Name: p.Name, Service: p.Service, DataCentre: p.DataCentre, Region: p.Region,
			Peer: addr, State: membership.ListedLive,
		})
	}
	b, err := json.MarshalIndent(l, "", " ")
	if err != nil {
		panic(err) // the types above always encode
	}
	return b
}
