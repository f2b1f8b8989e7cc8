package sidecar

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/settings"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// testDialect is the dialect of the platform in these tests.
var testDialect = proxy.Dialect{
	RequestID:            "Test-Request",
	Deadline:             "Test-Deadline-Ms",
	Signature:            "Test-Signature",
	ExpectedInstance:     "Test-Instance",
	CallerService:        "Test-Caller",
	NotExecuted:          "Test-Not-Executed",
	Load:                 "Test-Load",
	Instance:             "Test-Answering-Instance",
	Cold:                 "Test-Cold-Left",
	RateLimit:            headerLimit,
	Leaving:              headerLeaving,
	FractionalRetryAfter: true,
}

// upstream is a test upstream. It responds to requests for its own instance ID and counts
// how often each request ran.
type upstream struct {
	id     string
	work   time.Duration
	server *http.Server
	addr   netip.AddrPort

	wrongInstance atomic.Int32 // requests for another instance ID

	mu  sync.Mutex
	ran map[string]int
	// arrived is when the head of a request was last read.
	arrived map[string]time.Time
	handle  http.HandlerFunc // replaces the default response if it is set
	// advertised has the headers by which the upstream tells its state in each response.
	advertised http.Header
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	own := u.id
	u.mu.Unlock()
	if want := r.Header.Get(testDialect.ExpectedInstance); want != own {
		u.wrongInstance.Add(1)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(testDialect.RequestID)
	u.mu.Lock()
	u.arrived[id] = time.Now()
	u.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.ran[id]++
	handle := u.handle
	maps.Copy(w.Header(), u.advertised)
	u.mu.Unlock()
	w.Header().Set(testDialect.RequestID, id)
	w.Header().Set(testDialect.Signature, own)
	w.Header().Set("Seen-Caller", r.Header.Get(testDialect.CallerService))
	w.Header().Set("Seen-Target", r.RequestURI)
	if handle != nil {
		handle(w, r)
		return
	}
	time.Sleep(u.work)
	_, _ = fmt.Fprintf(w, "%s got %d bytes", own, len(body))
}

func (u *upstream) runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// arrivedAfter reports whether a request arrived later than at.
func (u *upstream) arrivedAfter(id string, at time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrived[id].After(at)
}

// fleet is a group of sidecars with an upstream beside each, on loopback addresses of
// their own.
type fleet struct {
	t         testing.TB
	store     *memoryStore
	mu        sync.RWMutex // guards sidecars while one restarts
	sidecars  []*Sidecar
	upstreams []*upstream
	settings  []*settings.Sidecar
	stops     []context.CancelFunc
	done      []chan error
}

var nextBlock atomic.Int32

// document returns the published document of the tests: a table with a read route and a
// write route of one service.
func document(edition uint64) *discovery.Document {
	route := func(name, prefix string, idempotent bool) table.Route {
		return table.Route{Name: name, Host: "shop.example", Prefix: prefix, Service: "shop", Kind: name, KindWeight: 1,
			Timeout: 2 * time.Second, Objective: 400 * time.Millisecond, Retries: 1, Idempotent: idempotent}
	}
	t := &table.Table{Edition: edition, Services: []table.Service{{Name: "shop"}},
		Routes: []table.Route{route("read", "/read/", true), route("write", "/write/", false)}}
	raw := []byte{byte(edition)}
	return &discovery.Document{ID: version.Of(edition, raw), Table: t, Raw: raw}
}

func startFleet(t testing.TB, n int, work time.Duration) *fleet {
	t.Helper()
	f := &fleet{t: t, store: newMemoryStore(document(1))}
	block := nextBlock.Add(1)
	peers := freePort(t)
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+block/256, block%256, i+1)
		f.addUpstream(ip, i, work)
		f.addSidecar(ip, i, peers)
	}
	t.Cleanup(f.stop)
	f.awaitReady()
	return f
}

// freePort returns a port for the peer addresses of the next fleet. It lies below the
// ports that the system assigns to connections and to listeners that ask for any port.
func freePort(t testing.TB) int {
	t.Helper()
	const first, ports = 20000, 10000
	return first + (os.Getpid()+int(nextPort.Add(1)))%ports
}

var nextPort atomic.Int32

func (f *fleet) addUpstream(ip string, i int, work time.Duration) {
	l, err := net.Listen("tcp", ip+":0")
	assert.NilError(f.t, err)
	u := &upstream{id: "shop-" + strconv.Itoa(i), work: work, ran: make(map[string]int), arrived: make(map[string]time.Time), addr: l.Addr().(*net.TCPAddr).AddrPort()}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	f.upstreams = append(f.upstreams, u)
	f.store.change(func(s *discovery.Update) {
		s.Upstreams = append(s.Upstreams, discovery.Upstream{ID: u.id, Service: "shop", Address: u.addr, DataCentre: "a", Slots: 12, Revision: s.Revision})
	})
}

func (f *fleet) addSidecar(ip string, i, peers int) {
	ini := fmt.Sprintf("[instance]\nname=node-%d\nservice=shop\ndata_centre=a\nregion=r\n[listen]\ncallers=%s:0\npeers=%s:%d\nready=%s:0\nmetrics=%s:0\n"+
		"[upstream]\naddress=%s\n[store]\naddress=127.0.0.1:1\n[shutdown]\nannounce=1ms\ntimeout=3s\n", i, ip, ip, peers, ip, ip, f.upstreams[i].addr)
	cfg, err := settings.ParseSidecar("test.ini", []byte(ini))
	assert.NilError(f.t, err)
	s, stop, done := f.run(cfg)
	f.settings = append(f.settings, cfg)
	f.sidecars = append(f.sidecars, s)
	f.stops = append(f.stops, stop)
	f.done = append(f.done, done)
}

// run starts a sidecar.
func (f *fleet) run(cfg *settings.Sidecar) (*Sidecar, context.CancelFunc, chan error) {
	p := Platform{Dialect: testDialect, ReadyPath: "/ready", Source: func(string) discovery.Source { return f.store }}
	s, err := New(cfg, p, log.New(io.Discard))
	assert.NilError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	return s, stop, done
}

// restart shuts a sidecar down and starts it again at its addresses.
func (f *fleet) restart(i int) {
	f.stops[i]()
	assert.NilError(f.t, <-f.done[i])
	s, stop, done := f.run(f.settings[i])
	f.mu.Lock()
	f.sidecars[i], f.stops[i], f.done[i] = s, stop, done
	f.mu.Unlock()
	for !s.Ready() {
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) awaitReady() {
	for _, s := range f.sidecars {
		for !s.Ready() || len(s.holder.Current().Service("shop").Upstreams) < len(f.upstreams) {
			time.Sleep(time.Millisecond)
		}
	}
}

func (f *fleet) stop() {
	for i, stop := range f.stops {
		stop()
		f.sidecars[i].closeAll()
	}
	for _, u := range f.upstreams {
		_ = u.server.Close()
	}
}

func (f *fleet) callers(i int) string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.sidecars[i].servers.listeners[0].Addr().String()
}

var nextID atomic.Int64

// request builds a request to sidecar i with a new request ID.
func (f *fleet) request(i int, method, path, body string) *http.Request {
	req, err := http.NewRequest(method, "http://"+f.callers(i)+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Host = "shop.example"
	req.Header.Set(testDialect.RequestID, "r"+strconv.FormatInt(nextID.Add(1), 10))
	req.Header.Set(testDialect.Deadline, "2000")
	return req
}

// send sends a request and returns the status, header and body.
func (f *fleet) send(req *http.Request) (int, http.Header, string) {
	f.t.Helper()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return resp.StatusCode, resp.Header, string(body)
}

// sendReads sends n reads to sidecar i at once. The channel gets the status and the reason
// of each response, or the error.
func (f *fleet) sendReads(i, n int) <-chan readResult {
	results := make(chan readResult, n)
	for range n {
		req := f.request(i, http.MethodGet, "/read/x", "")
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				results <- readResult{err: err}
				return
			}
			_ = resp.Body.Close()
			results <- readResult{status: resp.StatusCode, reason: resp.Header.Get(proxy.HeaderReason)}
		}()
	}
	return results
}

// readResult is how a request of sendReads ended.
type readResult struct {
	status int
	reason string // proxy.HeaderReason
	err    error
}
