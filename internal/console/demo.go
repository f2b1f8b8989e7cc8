// Package console is the demo: a whole small fleet in one process with a web
// page, where cells of the table are edited and the fleet is watched following.
package console

import (
	"context"
	_ "embed"
	"encoding/csv"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/walldrift/walldrift/internal/bench"
	"github.com/walldrift/walldrift/internal/distribution"
	"github.com/walldrift/walldrift/internal/fleet"
	"github.com/walldrift/walldrift/internal/platform"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/standin"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// DemoConfig holds the settings of the demo.
type DemoConfig struct {
	Listen string
	Layout standin.Layout
	Rate   float64 // requests a second of the trickle
	Out    io.Writer
	Log    io.Writer
}

//go:embed page.html
var page string

// Timing of the demo.
const (
	convergeLimit  = 20 * time.Second
	requestTimeout = 2 * time.Second
)

// demo is the running demo.
type demo struct {
	cfg   DemoConfig
	fleet *fleet.Fleet
	load  *bench.Load

	mu    sync.Mutex
	edits []editResult // newest first
}

// editResult tells what became of one edit.
type editResult struct {
	Cell    string  `json:"cell"`
	Version string  `json:"version,omitempty"`
	Error   string  `json:"error,omitempty"`
	TookMs  float64 `json:"took_ms,omitempty"`
	Pending bool    `json:"pending"`
}

// maxEdits bounds the edits shown.
const maxEdits = 10

// RunDemo runs the demo until ctx ends, then shuts the fleet down gracefully.
func RunDemo(ctx context.Context, cfg DemoConfig) error {
	if cfg.Rate <= 0 {
		return errors.New("the rate must be positive")
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "page address")
	}
	defer func() { _ = listener.Close() }()
	f, err := fleet.StartReady(ctx, fleet.Config{Placements: cfg.Layout.Placements(), Table: cfg.Layout.Table(), Log: cfg.Log, LogLevel: "warn"})
	if err != nil {
		return err
	}
	defer f.Close()
	d := &demo{cfg: cfg, fleet: f}
	return d.serve(ctx, listener)
}

func (d *demo) serve(ctx context.Context, listener net.Listener) error {
	var targets []string
	for _, n := range d.fleet.Nodes() {
		targets = append(targets, fleet.CallerURL(n))
	}
	d.load = bench.NewLoad(bench.LoadConfig{Targets: targets, Streams: bench.StreamsOf(d.cfg.Layout), Rate: d.cfg.Rate, Timeout: requestTimeout, Seed: 1})
	srv := &http.Server{Handler: d.handler(), ReadHeaderTimeout: requestTimeout}
	var group sync.WaitGroup
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	group.Go(func() { d.load.Run(loading) })
	group.Go(func() {
		<-loading.Done()
		_ = srv.Close()
	})
	first := d.fleet.Nodes()[0]
	_, _ = fmt.Fprintf(d.cfg.Out, "page:      http://%s/\nplatform:  %s\nany node:  walldrift status --node %s\na request: curl -i http://%s%s/x\nstop:      Ctrl-C\n",
		listener.Addr(), d.fleet.PlatformURL(), first.Admin(), first.Callers(), d.cfg.Layout.Groups[0].Prefix)
	err := srv.Serve(listener)
	stopLoad()
	group.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (d *demo) handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/", func(c echo.Context) error { return c.HTML(http.StatusOK, page) })
	e.GET("/api/state", d.getState)
	e.POST("/api/edit", d.postEdit)
	return e
}

// state is what the page shows.
type state struct {
	Table  [][]string                `json:"table"`
	Fleet  []distribution.NodeStatus `json:"fleet"`
	Load   []bench.Summary           `json:"load"`
	Bounds []float64                 `json:"bounds"`
	Edits  []editResult              `json:"edits"`
	Source standin.Counts            `json:"source"`
}

func (d *demo) getState(c echo.Context) error {
	v, _ := d.fleet.Platform.Get(platform.KeyTable)
	recs, err := csv.NewReader(strings.NewReader(string(v.Raw))).ReadAll()
	if err != nil {
		return err
	}
	nodes, err := d.fleet.Nodes()[0].Survey(c.Request().Context())
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	d.mu.Lock()
	edits := append([]editResult(nil), d.edits...)
	d.mu.Unlock()
	return c.JSON(http.StatusOK, state{
		Table: recs, Fleet: nodes, Load: d.load.Summaries(), Bounds: bench.SummaryBounds, Edits: edits, Source: d.fleet.Platform.Counts(),
	})
}

// editRequest is one cell edited on the page.
type editRequest struct {
	Row    table.RowType `json:"row"`
	Name   string        `json:"name"`
	Column table.Column  `json:"column"`
	Value  string        `json:"value"`
}

// postEdit acts as an operator's tool: it reads the platform's table, changes
// the cell, raises the edition and publishes if nobody else did meanwhile. A
// bad table is published as well: the fleet refuses it and says why.
func (d *demo) postEdit(c echo.Context) error {
	var q editRequest
	if err := c.Bind(&q); err != nil {
		return err
	}
	cell := fmt.Sprintf("%s %s %s = %q", q.Row, q.Name, q.Column, q.Value)
	old, _ := d.fleet.Platform.Get(platform.KeyTable)
	next, err := table.Set(old.Raw, table.Edit{Row: q.Row, Name: q.Name, Column: q.Column, Value: q.Value})
	if err != nil {
		return d.refuse(c, http.StatusBadRequest, editResult{Cell: cell, Error: err.Error()})
	}
	if !d.fleet.Platform.PutIf(platform.KeyTable, next, old.Index) {
		return d.refuse(c, http.StatusConflict, editResult{Cell: cell, Error: "overtaken by another edit; look at the table and try again"})
	}
	id := version.Of(table.EditionOf(next), next)
	result := editResult{Cell: cell, Version: id.String(), Pending: true}
	if _, err := snapshot.Build(next); err != nil {
		result.Pending, result.Error = false, "published, and refused by the nodes that read it: "+err.Error()
	}
	d.remember(result)
	if result.Pending {
		go d.follow(id)
	}
	return c.JSON(http.StatusOK, result)
}

func (d *demo) refuse(c echo.Context, status int, r editResult) error {
	d.remember(r)
	return c.JSON(status, r)
}

func (d *demo) remember(r editResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.edits = append([]editResult{r}, d.edits...)
	d.edits = d.edits[:min(len(d.edits), maxEdits)]
}

// follow notes when the whole fleet has the version in force.
func (d *demo) follow(id version.ID) {
	ctx, cancel := context.WithTimeout(context.Background(), convergeLimit)
	defer cancel()
	took, err := d.fleet.AwaitVersion(ctx, id)
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.edits {
		if d.edits[i].Version != id.String() {
			continue
		}
		d.edits[i].Pending = false
		d.edits[i].TookMs = float64(took.Microseconds()) / 1000
		if err != nil {
			d.edits[i].Error = err.Error()
		}
	}
}
