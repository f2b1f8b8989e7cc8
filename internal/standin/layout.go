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

// Group is one service of a layout with its upstream instances, the targets.
type Group struct {
	Service     string
	Upstreams   int           // number of upstream instances
	Slots       int           // concurrent requests of one target
	ServiceTime time.Duration // time that a target takes for one request
	Kind        string
	KindWeight  float64
	Prefix      string
	Idempotent  bool
}

// Layout describes a deployment: its services and the data centres they run in.
type Layout struct {
	Name        string
	Region      string
	DataCentres []string
	Groups      []Group
}

// Slots of one target in the deployments below, at their present size.
const (
	kerblineSlotsPerTarget = 12
	kestrelSlotsPerTarget  = 18
)

// Kerbline returns the deployment of a parking company at its present size.
func Kerbline() Layout {
	return Layout{
		Name: "kerbline", Region: "scotland", DataCentres: []string{"glasgow-1", "glasgow-2", "edinburgh-1"},
		Groups: []Group{
			{"tariff", 6, kerblineSlotsPerTarget, 10 * time.Millisecond, "lookup", 1, "/tariff", true},
			{"payments", 4, kerblineSlotsPerTarget, 25 * time.Millisecond, "payment", 5, "/payments", false},
			{"enforcement", 3, kerblineSlotsPerTarget, 20 * time.Millisecond, "permit", 3, "/enforcement", true},
		},
	}
}

// KestrelBrook returns the deployment of a lending company at its present size.
func KestrelBrook() Layout {
	return Layout{
		Name: "kestrel", Region: "western-australia", DataCentres: []string{"perth-1", "perth-2", "bunbury-1"},
		Groups: []Group{
			{"statements", 6, kestrelSlotsPerTarget, 10 * time.Millisecond, "statement", 1, "/statements", true},
			{"ledger", 4, kestrelSlotsPerTarget, 25 * time.Millisecond, "drawdown", 5, "/ledger", false},
			{"intake", 3, kestrelSlotsPerTarget, 40 * time.Millisecond, "paper", 2, "/intake", true},
		},
	}
}

// Synthetic returns placements of the given numbers of targets, services, data centres
// and regions, for measurements. Their Group is empty.
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

// Placement is one target of a layout with the data centre it runs in.
type Placement struct {
	Name, Service, DataCentre, Region string
	Group                             Group
}

// Placements spreads the targets of each service over the data centres.
func (l Layout) Placements() []Placement {
	var out []Placement
	for g, group := range l.Groups {
		for i := range group.Upstreams {
			out = append(out, Placement{
				Name:       fmt.Sprintf("%s-%d", group.Service, i+1),
				Service:    group.Service,
				DataCentre: l.DataCentres[(g+i)%len(l.DataCentres)],
				Region:     l.Region,
				Group:      group,
			})
		}
	}
	return out
}

// Table returns the layout's table as CSV, edition 1.
func (l Layout) Table() []byte {
	w := newTableWriter()
	for _, g := range l.Groups {
		w.row(table.RowService, g.Service, nil)
	}
	for _, p := range l.Placements() {
		w.row(table.RowUpstream, p.Name, rowCells{table.ColService: p.Service, table.ColWeight: "1", table.ColConcurrency: strconv.Itoa(p.Group.Slots)})
	}
	for _, g := range l.Groups {
		w.row(table.RowRoute, g.Service, rowCells{
			table.ColService: g.Service, table.ColPrefix: g.Prefix, table.ColKind: g.Kind,
			table.ColKindWeight: strconv.FormatFloat(g.KindWeight, 'g', -1, 64),
			table.ColTimeout:    "2000", table.ColRetries: "1", table.ColIdempotent: formatYesNo(g.Idempotent),
		})
	}
	return w.bytes()
}

// SyntheticTable returns the table for placements of Synthetic: each service has one
// idempotent route.
func SyntheticTable(all []Placement) []byte {
	w := newTableWriter()
	seen := make(map[string]bool)
	for _, p := range all {
		if !seen[p.Service] {
			seen[p.Service] = true
			w.row(table.RowService, p.Service, nil)
			w.row(table.RowRoute, p.Service, rowCells{table.ColService: p.Service, table.ColPrefix: "/" + p.Service,
				table.ColKind: "call", table.ColIdempotent: formatYesNo(true), table.ColTimeout: "2000"})
		}
		w.row(table.RowUpstream, p.Name, rowCells{table.ColService: p.Service, table.ColWeight: "1", table.ColConcurrency: "12"})
	}
	return w.bytes()
}

func formatYesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// rowCells holds the non-empty cells of a row except its type and name.
type rowCells map[table.Column]string

type tableWriter struct {
	buf bytes.Buffer
	csv *csv.Writer
}

func newTableWriter() *tableWriter {
	w := &tableWriter{}
	w.csv = csv.NewWriter(&w.buf)
	header := make([]string, len(table.Header))
	for i, c := range table.Header {
		header[i] = string(c)
	}
	_ = w.csv.Write(header)
	w.row(table.RowTable, "1", nil)
	return w
}

func (w *tableWriter) row(rowType table.RowType, name string, cells rowCells) {
	rec := make([]string, len(table.Header))
	for i, c := range table.Header {
		rec[i] = cells[c]
	}
	rec[0], rec[1] = string(rowType), name
	_ = w.csv.Write(rec)
}

func (w *tableWriter) bytes() []byte {
	w.csv.Flush()
	return w.buf.Bytes()
}

// List returns the JSON instance list of the placements that have a peer address in peers.
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
		panic(err) // cannot happen: every field of these types can be encoded
	}
	return b
}
