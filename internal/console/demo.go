// Package console implements the demo: a small fleet in one process with a web page that
// edits cells of the table and shows how the nodes take the new version into force.
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
	Rate   float64   // requests per second of the background load
	Out    io.Writer // receives the addresses of the page, the platform and a node
	Log    io.Writer // receives the nodes' log lines
}

//go:embed page.html
var pageHTML string

const (
	// convergeTimeout bounds the wait until all nodes have an edited table in force.
	convergeTimeout = 20 * time.Second
	// requestTimeout bounds a request of the background load, and the reading of a request's
	// header by the page's server.
	requestTimeout = 2 * time.Second
)

// demo is the state of the running demo.
type demo struct {
	cfg   DemoConfig
	fleet *fleet.Fleet
	load  *bench.Load // background load

	mu    sync.Mutex
	edits []editResult // newest first
}

// editResult is the progress or the result of one edit, as the page shows it.
type editResult struct {
	Cell    string  `json:"cell"`
	Version string  `json:"version,omitempty"`
	Error   string  `json:"error,omitempty"`
	TookMs  float64 `json:"took_ms,omitempty"`
	Pending bool    `json:"pending"`
}

// maxEdits is the number of edits shown.
const maxEdits = 10

// RunDemo runs the demo until ctx ends, then shuts the fleet down gracefully.
func RunDemo(ctx context.Context, cfg DemoConfig) error {
	if cfg.Rate <= 0 {
		return errors.New("request rate must be positive")
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for the web page")
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
	d.load = bench.NewLoad(bench.LoadConfig{Targets: targets, Streams: bench.StreamsOfLayout(d.cfg.Layout), Rate: d.cfg.Rate, Timeout: requestTimeout, Seed: 1})
	srv := &http.Server{Handler: d.handler(), ReadHeaderTimeout: requestTimeout}
	var group sync.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	group.Go(func() { d.load.Run(loadCtx) })
	group.Go(func() {
		<-loadCtx.Done()
		_ = srv.Close()
	})
	firstNode := d.fleet.Nodes()[0]
	_, _ = fmt.Fprintf(d.cfg.Out, "page:      http://%s/\nplatform:  %s\nany node:  walldrift status --node %s\na request: curl -i http://%s%s/x\nstop:      Ctrl-C\n",
		listener.Addr(), d.fleet.PlatformURL(), firstNode.Admin(), firstNode.Callers(), d.cfg.Layout.Groups[0].Prefix)
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
	e.GET("/", func(c echo.Context) error { return c.HTML(http.StatusOK, pageHTML) })
	e.GET("/api/state", d.handleState)
	e.POST("/api/edit", d.handleEdit)
	return e
}

// pageState is the JSON document that the page shows.
type pageState struct {
	Table  [][]string                `json:"table"`
	Fleet  []distribution.NodeStatus `json:"fleet"`
	Load   []bench.Summary           `json:"load"`
	Bounds []float64                 `json:"bounds"`
	Edits  []editResult              `json:"edits"`
	Source standin.Counts            `json:"source"`
}

func (d *demo) handleState(c echo.Context) error {
	v, _ := d.fleet.Platform.Get(platform.KeyTable)
	recs, err := csv.NewReader(strings.NewReader(string(v.Raw))).ReadAll()
	if err != nil {
		return err
	}
	nodes, err := d.fleet.Nodes()[0].QueryStatus(c.Request().Context())
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	d.mu.Lock()
	edits := append([]editResult(nil), d.edits...)
	d.mu.Unlock()
	return c.JSON(http.StatusOK, pageState{
		Table: recs, Fleet: nodes, Load: d.load.Summaries(), Bounds: bench.SummaryBounds, Edits: edits, Source: d.fleet.Platform.Counts(),
	})
}

// editRequest is an edit of one cell, sent by the page.
type editRequest struct {
	Row    table.RowType `json:"row"`
	Name   string        `json:"name"`
	Column table.Column  `json:"column"`
	Value  string        `json:"value"`
}

// handleEdit does what an operator's tool does: it reads the platform's table, changes the
// cell, increments the edition and publishes the table unless another edit was published
// meanwhile. An invalid table is published as well, to show that the nodes reject it.
func (d *demo) handleEdit(c echo.Context) error {
	var edit editRequest
	if err := c.Bind(&edit); err != nil {
		return err
	}
	cell := fmt.Sprintf("%s %s %s = %q", edit.Row, edit.Name, edit.Column, edit.Value)
	old, _ := d.fleet.Platform.Get(platform.KeyTable)
	next, err := table.ApplyEdits(old.Raw, table.Edit{Row: edit.Row, Name: edit.Name, Column: edit.Column, Value: edit.Value})
	if err != nil {
		return d.rejectEdit(c, http.StatusBadRequest, editResult{Cell: cell, Error: err.Error()})
	}
	if !d.fleet.Platform.PutIf(platform.KeyTable, next, old.Index) {
		return d.rejectEdit(c, http.StatusConflict, editResult{Cell: cell, Error: "another edit was published first; check the table and try again"})
	}
	id := version.Of(table.EditionOf(next), next)
	result := editResult{Cell: cell, Version: id.String(), Pending: true}
	if _, err := snapshot.Build(next); err != nil {
		result.Pending, result.Error = false, "published, but rejected by the nodes that read it: "+err.Error()
	}
	d.addEdit(result)
	if result.Pending {
		go d.awaitConvergence(id)
	}
	return c.JSON(http.StatusOK, result)
}

// rejectEdit answers an edit that was not published.
func (d *demo) rejectEdit(c echo.Context, status int, r editResult) error {
	d.addEdit(r)
	return c.JSON(status, r)
}

// addEdit adds an edit to those shown and drops the oldest beyond maxEdits.
func (d *demo) addEdit(r editResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.edits = append([]editResult{r}, d.edits...)
	d.edits = d.edits[:min(len(d.edits), maxEdits)]
}

// awaitConvergence waits until all nodes have the version in force, and records the result
// with the edits of that version.
func (d *demo) awaitConvergence(id version.ID) {
	ctx, cancel := context.WithTimeout(context.Background(), convergeTimeout)
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
