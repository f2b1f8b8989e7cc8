// Package standin contains fakes of the platform and of upstreams for the demo, tests
// and measurements. They speak the protocols of the real ones.
package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/walldrift/walldrift/internal/platform"
	"github.com/walldrift/walldrift/internal/table"
)

// Platform is an in-memory fake of the configuration service: values with an index that
// are read and watched over HTTP. Operators publish with PUT; nodes only read.
type Platform struct {
	mu      sync.Mutex
	values  map[string]platform.Value
	changed chan struct{} // closed and replaced at each change
	index   uint64

	calls       atomic.Int64
	bytes       atomic.Int64
	unavailable atomic.Bool
	staleValues atomic.Pointer[map[string]platform.Value]
	callRate    peakRate
	callLog     callLog
}

// NewPlatform returns a Platform without values.
func NewPlatform() *Platform {
	return &Platform{values: make(map[string]platform.Value), changed: make(chan struct{})}
}

// Put publishes a value, as an operator's tool does, and returns its index.
func (p *Platform) Put(key string, raw []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.putLocked(key, raw)
}

func (p *Platform) putLocked(key string, raw []byte) uint64 {
	p.index++
	p.values[key] = platform.Value{Raw: raw, Index: p.index}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.index
}

// PutIf publishes a value if the current one has the given index (compare-and-set).
func (p *Platform) PutIf(key string, raw []byte, index uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values[key].Index != index {
		return false
	}
	p.putLocked(key, raw)
	return true
}

// Get returns the current value of key.
func (p *Platform) Get(key string) (platform.Value, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	return v, ok
}

// SetDown makes every call fail with status 503, or succeed again.
func (p *Platform) SetDown(down bool) { p.unavailable.Store(down) }

// SetStale(true) makes later reads return the values of this moment, as a stale replica
// does; SetStale(false) ends that.
func (p *Platform) SetStale(on bool) {
	if !on {
		p.staleValues.Store(nil)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := make(map[string]platform.Value, len(p.values))
	for k, v := range p.values {
		old[k] = v
	}
	p.staleValues.Store(&old)
}

// Counts are the read calls that a Platform has received and the bytes it returned.
type Counts struct {
	Calls      int64 `json:"calls"`
	Bytes      int64 `json:"bytes"`
	PeakSecond int64 `json:"peak_second"` // most calls in one second
}

// Counts returns the counts since the start.
func (p *Platform) Counts() Counts {
	return Counts{Calls: p.calls.Load(), Bytes: p.bytes.Load(), PeakSecond: p.callRate.peak()}
}

// Paths besides the key-value interface: counters and fault injection.
const (
	pathCounts = "/standin/counts"
	pathCalls  = "/standin/calls"
	pathDown   = "/standin/down/"
	pathStale  = "/standin/stale/"
)

// Handler returns the HTTP interface of the Platform.
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(platform.PathPrefix+"*", p.handleGet)
	e.PUT(platform.PathPrefix+"*", p.handlePut)
	e.GET(pathCounts, func(c echo.Context) error { return c.JSON(http.StatusOK, p.Counts()) })
	e.GET(pathCalls, func(c echo.Context) error { return c.JSON(http.StatusOK, p.callLog.all()) })
	e.POST(pathDown+":on", func(c echo.Context) error { p.SetDown(c.Param("on") == "on"); return c.NoContent(http.StatusNoContent) })
	e.POST(pathStale+":on", func(c echo.Context) error {
		p.SetStale(c.Param("on") == "on")
		return c.NoContent(http.StatusNoContent)
	})
	return e
}

func (p *Platform) handleGet(c echo.Context) error {
	p.calls.Add(1)
	p.callRate.add(time.Now())
	key := c.Param("*")
	ended := p.callLog.begin(Call{Caller: c.Request().UserAgent(), Key: key, Watch: c.QueryParam("index") != "", At: time.Now()})
	defer ended()
	if p.unavailable.Load() {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "down")
	}
	if text := c.QueryParam("index"); text != "" {
		index, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "index")
		}
		wait, err := time.ParseDuration(c.QueryParam("wait"))
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "wait")
		}
		p.awaitChange(c.Request().Context(), key, index, wait)
		if p.unavailable.Load() {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "down")
		}
	}
	v, ok := p.servedValue(key)
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no value")
	}
	p.bytes.Add(int64(len(v.Raw)))
	c.Response().Header().Set(platform.HeaderIndex, strconv.FormatUint(v.Index, 10))
	return c.Blob(http.StatusOK, "application/octet-stream", v.Raw)
}

// servedValue returns the value that a read sees: the old one after SetStale(true).
func (p *Platform) servedValue(key string) (platform.Value, bool) {
	if old := p.staleValues.Load(); old != nil {
		v, ok := (*old)[key]
		return v, ok
	}
	return p.Get(key)
}

// awaitChange returns when the value's index differs from index, or wait or ctx ends.
func (p *Platform) awaitChange(ctx context.Context, key string, index uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		if v, ok := p.servedValue(key); ok && v.Index != index {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *Platform) handlePut(c echo.Context) error {
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, table.MaxBytes+1))
	if err != nil {
		return err
	}
	if len(raw) > table.MaxBytes {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, fmt.Sprintf("a value holds at most %d bytes", table.MaxBytes))
	}
	key := c.Param("*")
	if text := c.QueryParam("cas"); text != "" {
		index, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "cas")
		}
		return c.String(http.StatusOK, strconv.FormatBool(p.PutIf(key, raw, index)))
	}
	p.Put(key, raw)
	return c.String(http.StatusOK, "true")
}

// peakRate records the largest number of calls in any one calendar second.
type peakRate struct {
	mu      sync.Mutex
	second  int64
	count   int64
	highest int64
}

func (w *peakRate) add(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := t.Unix(); s != w.second {
		w.second, w.count = s, 0
	}
	w.count++
	w.highest = max(w.highest, w.count)
}

func (w *peakRate) peak() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.highest
}

// Serve serves h on addr until ctx ends; it then returns nil. ready is called with the
// bound address before the first request is served.
func Serve(ctx context.Context, addr string, h http.Handler, ready func(addr string)) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		_ = srv.Close()
	}()
	ready(l.Addr().String())
	err = srv.Serve(l)
	if ctx.Err() != nil {
		<-stopped
		return nil
	}
	return err
}
