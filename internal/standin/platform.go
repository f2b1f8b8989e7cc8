// Package standin holds small stand-ins of the platform and of upstreams, for
// the demo, for tests and for measurements. They speak the published protocols
// that the real ones would.
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

// Platform is a stand-in of the configuration service: values with an index,
// read and watched over HTTP. PUT is the operators' side of it; no node uses
// it.
type Platform struct {
	mu      sync.Mutex
	values  map[string]platform.Value
	changed chan struct{} // closed and replaced at each change
	index   uint64

	calls  atomic.Int64
	bytes  atomic.Int64
	down   atomic.Bool
	stale  atomic.Pointer[map[string]platform.Value]
	window rateWindow
}

// NewPlatform returns an empty stand-in.
func NewPlatform() *Platform {
	return &Platform{values: make(map[string]platform.Value), changed: make(chan struct{})}
}

// Put publishes a value, as an operator's tool does.
func (p *Platform) Put(key string, raw []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.put(key, raw)
}

func (p *Platform) put(key string, raw []byte) uint64 {
	p.index++
	p.values[key] = platform.Value{Raw: raw, Index: p.index}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.index
}

// PutIf publishes a value if the present one has the given index.
func (p *Platform) PutIf(key string, raw []byte, index uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values[key].Index != index {
		return false
	}
	p.put(key, raw)
	return true
}

// Get returns the value of key.
func (p *Platform) Get(key string) (platform.Value, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	return v, ok
}

// SetDown makes every call fail, or work again.
func (p *Platform) SetDown(down bool) { p.down.Store(down) }

// Freeze makes all later reads return the present values, as a stale replica
// does, until called with false.
func (p *Platform) Freeze(on bool) {
	if !on {
		p.stale.Store(nil)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := make(map[string]platform.Value, len(p.values))
	for k, v := range p.values {
		old[k] = v
	}
	p.stale.Store(&old)
}

// Counts are the calls that the stand-in has served.
type Counts struct {
	Calls      int64 `json:"calls"`
	Bytes      int64 `json:"bytes"`
	PeakSecond int64 `json:"peak_second"` // most calls in one second
}

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	return Counts{Calls: p.calls.Load(), Bytes: p.bytes.Load(), PeakSecond: p.window.peak()}
}

// Paths of the stand-in besides the key-value interface.
const (
	pathCounts = "/standin/counts"
	pathDown   = "/standin/down/"
	pathStale  = "/standin/stale/"
)

// Handler serves the stand-in over HTTP.
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(platform.PathPrefix+"*", p.get)
	e.PUT(platform.PathPrefix+"*", p.putHTTP)
	e.GET(pathCounts, func(c echo.Context) error { return c.JSON(http.StatusOK, p.Counts()) })
	e.POST(pathDown+":on", func(c echo.Context) error { p.SetDown(c.Param("on") == "on"); return c.NoContent(http.StatusNoContent) })
	e.POST(pathStale+":on", func(c echo.Context) error { p.Freeze(c.Param("on") == "on"); return c.NoContent(http.StatusNoContent) })
	return e
}

func (p *Platform) get(c echo.Context) error {
	p.calls.Add(1)
	p.window.add(time.Now())
	if p.down.Load() {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "down")
	}
	key := c.Param("*")
	if text := c.QueryParam("index"); text != "" {
		index, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "index")
		}
		wait, err := time.ParseDuration(c.QueryParam("wait"))
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "wait")
		}
		p.await(c.Request().Context(), key, index, wait)
		if p.down.Load() {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "down")
		}
	}
	v, ok := p.visible(key)
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no value")
	}
	p.bytes.Add(int64(len(v.Raw)))
	c.Response().Header().Set(platform.HeaderIndex, strconv.FormatUint(v.Index, 10))
	return c.Blob(http.StatusOK, "application/octet-stream", v.Raw)
}

func (p *Platform) visible(key string) (platform.Value, bool) {
	if old := p.stale.Load(); old != nil {
		v, ok := (*old)[key]
		return v, ok
	}
	return p.Get(key)
}

// await returns when the value's index differs from index or the wait ends.
func (p *Platform) await(ctx context.Context, key string, index uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		if v, ok := p.visible(key); ok && v.Index != index {
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

func (p *Platform) putHTTP(c echo.Context) error {
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

// rateWindow keeps the largest number of calls in any calendar second.
type rateWindow struct {
	mu     sync.Mutex
	second int64
	now    int64
	most   int64
}

func (w *rateWindow) add(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := t.Unix(); s != w.second {
		w.second, w.now = s, 0
	}
	w.now++
	w.most = max(w.most, w.now)
}

func (w *rateWindow) peak() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

// Serve runs a handler on addr until ctx ends. ready is called with the bound
// address.
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
