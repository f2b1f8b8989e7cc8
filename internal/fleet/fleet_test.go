package fleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/platform"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/settings"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/standin"
	"github.com/walldrift/walldrift/internal/table"
)

// smallLayout has two upstreams each for payments and lookups.
func smallLayout() standin.Layout {
	return standin.Layout{
		Name: "small", Region: "r", DataCentres: []string{"dc-1", "dc-2"},
		Groups: []standin.Group{
			{Service: "pay", Upstreams: 2, Slots: 2, ServiceTime: time.Millisecond, Kind: "payment", KindWeight: 5, Prefix: "/pay"},
			{Service: "look", Upstreams: 2, Slots: 2, ServiceTime: time.Millisecond, Kind: "lookup", KindWeight: 1, Prefix: "/look", Idempotent: true},
		},
	}
}

func fastSettings(n *settings.Node) {
	n.LedgerSkew = time.Millisecond
	n.ShutdownAnnounce = 50 * time.Millisecond
}

// startSmall starts the small fleet and waits until it is ready.
func startSmall(t *testing.T, cfg Config) *Fleet {
	t.Helper()
	layout := smallLayout()
	cfg.Placements, cfg.Table = layout.Placements(), layout.Table()
	if cfg.Settings == nil {
		cfg.Settings = fastSettings
	}
	f, err := StartReady(t.Context(), cfg)
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return f
}

func awaitTable(t *testing.T, f *Fleet, raw []byte) {
	t.Helper()
	s, err := snapshot.Build(raw)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	_, err = f.AwaitVersion(ctx, s.ID)
	assert.NilError(t, err)
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error // from reading the body, or from the whole request
}

func (r response) echo(t *testing.T) standin.Echo {
	t.Helper()
	var e standin.Echo
	assert.NilError(t, json.Unmarshal(r.body, &e), "%s", r.body)
	return e
}

func send(t *testing.T, f *Fleet, node, method, path string, header map[string]string, body io.Reader) response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, CallerURL(f.Node(node))+path, body)
	assert.NilError(t, err)
	for k, v := range header {
		req.Header[k] = []string{v}
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: b, err: err}
}

// lowerCaseKeyHeader is the key header in lower case. In this form net/http does not see
// it as permission to retry the request.
const lowerCaseKeyHeader = "idempotency-key"

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func TestValidEditReachesAllNodesInvalidNone(t *testing.T) {
	f := startSmall(t, Config{})
	raw := smallLayout().Table()
	next, err := table.ApplyEdits(raw, table.Edit{Row: table.RowUpstream, Name: "pay-1", Column: table.ColWeight, Value: "3"})
	assert.NilError(t, err)
	f.Platform.Put(platform.KeyTable, next)
	awaitTable(t, f, next)
	invalid, err := table.ApplyEdits(next, table.Edit{Row: table.RowRoute, Name: "pay", Column: table.ColService, Value: "nowhere"})
	assert.NilError(t, err)
	f.Platform.Put(platform.KeyTable, invalid)
	corrected, err := table.ApplyEdits(invalid, table.Edit{Row: table.RowRoute, Name: "pay", Column: table.ColService, Value: "pay"})
	assert.NilError(t, err)
	f.Platform.Put(platform.KeyTable, corrected)
	awaitTable(t, f, corrected)
	// An operator publishes an older copy again, for example from a backup.
	f.Platform.Put(platform.KeyTable, raw)
	last, err := table.ApplyEdits(corrected, table.Edit{Row: table.RowUpstream, Name: "pay-2", Column: table.ColWeight, Value: "2"})
	assert.NilError(t, err)
	for _, n := range f.Nodes() {
		assert.Equal(t, n.Table().Edition, uint64(4))
	}
	f.Platform.Put(platform.KeyTable, last)
	awaitTable(t, f, last)
}

func TestCompleteResponseThroughAnyNode(t *testing.T) {
	f := startSmall(t, Config{})
	upload := bytes.Repeat([]byte("photo "), 1<<19) // 3 MB
	sum := sha256.Sum256(upload)
	for _, n := range []string{"pay-1", "look-2"} {
		id := newKey()
		r := send(t, f, n, http.MethodPost, "/pay/x", map[string]string{standin.HeaderRequestID: id, standin.HeaderResponseBytes: "2000000"}, bytes.NewReader(upload))
		assert.NilError(t, r.err)
		e := r.echo(t)
		assert.Equal(t, e.RequestID, id)
		assert.Equal(t, e.SHA256, hex.EncodeToString(sum[:]))
		assert.Equal(t, len(e.Padding), 2000000)
	}
}

// countingUpstream counts the requests that reach an upstream before the given handler
// runs. Health and load requests are passed to the stand-in uncounted.
func countingUpstream(count *atomic.Int64, h http.HandlerFunc) func(string, http.Handler) http.Handler {
	return func(_ string, base http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" || r.URL.Path == "/load" {
				base.ServeHTTP(w, r)
				return
			}
			count.Add(1)
			h(w, r)
		})
	}
}

// net/http retries a request on an idle connection that turns out to be closed if it
// considers the request replayable: a GET, or any request with an Idempotency-Key. That
// must not happen on a non-idempotent route.
func TestNothingReplaysNonIdempotentRequest(t *testing.T) {
	var received, successes atomic.Int64
	f := startSmall(t, Config{Upstream: countingUpstream(&received, func(w http.ResponseWriter, r *http.Request) {
		if successes.Add(-1) >= 0 {
			_, _ = io.WriteString(w, "warm")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close() // the request was read, and no response follows
		}
	})})
	for _, c := range []struct{ method, key string }{{"POST", ""}, {"POST", "key"}, {"GET", ""}, {"PUT", "key"}, {"GET", "key"}, {"EMPTY", "key"}} {
		successes.Store(8)
		for range 8 { // leaves idle connections to both upstreams
			send(t, f, "look-1", "POST", "/pay/warm", nil, nil)
		}
		received.Store(0)
		header := map[string]string{}
		if c.key != "" {
			header[lowerCaseKeyHeader] = newKey()
		}
		var body io.Reader
		method := c.method
		if method == "EMPTY" {
			method = "POST" // without a body
		} else if method != "GET" {
			body = strings.NewReader("x")
		}
		r := send(t, f, "look-1", method, "/pay/x", header, body)
		assert.Equal(t, received.Load(), int64(1), "%s with key %q", c.method, c.key)
		assert.Equal(t, r.header.Get(proxy.HeaderOutcome), string(proxy.OutcomeUnknown))
		assert.Equal(t, r.status, http.StatusBadGateway)
	}
}

// A response that is cut on its way must never look complete to the caller.
func TestCutAnswerIsNotWhole(t *testing.T) {
	var received atomic.Int64
	f := startSmall(t, Config{Upstream: countingUpstream(&received, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/look/length" {
			w.Header().Set("Content-Length", "100000")
		}
		_, _ = w.Write(bytes.Repeat([]byte("y"), 50000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})})
	for _, path := range []string{"/look/length", "/look/chunked"} {
		for _, n := range []string{"look-1", "pay-1", "pay-2"} {
			r := send(t, f, n, "GET", path, nil, nil)
			// The connection may be reset before the head has been read. The node then has
			// nothing to forward and reports the failure itself.
			reported := r.status == http.StatusBadGateway && r.header.Get(proxy.HeaderOutcome) == string(proxy.OutcomeUnknown)
			assert.Assert(t, r.err != nil || reported, "%s through %s looks complete: status %d, reason %q, %d bytes", path, n, r.status, r.header.Get(proxy.HeaderReason), len(r.body))
		}
	}
}

func TestUpstreamCannotSpeakForANode(t *testing.T) {
	f := startSmall(t, Config{})
	r := send(t, f, "pay-1", "GET", "/look/x", map[string]string{standin.HeaderForgedOutcome: string(proxy.OutcomeNotRun)}, nil)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.header.Get(proxy.HeaderOutcome), "")
}

// A key repeated through another node gets the first response, and the request runs once.
func TestRepeatedKeyRunsOnce(t *testing.T) {
	f := startSmall(t, Config{})
	id, key := "first", newKey()
	var first []byte
	for i, n := range []string{"pay-1", "pay-2", "look-1", "look-2"} {
		r := send(t, f, n, "POST", "/pay/x", map[string]string{standin.HeaderRequestID: id, lowerCaseKeyHeader: key}, strings.NewReader("draw"))
		assert.Equal(t, r.status, http.StatusOK, "%s", r.body)
		if i == 0 {
			first = r.body
		}
		assert.Equal(t, string(r.body), string(first))
	}
	runs := 0
	for _, u := range f.Upstreams {
		runs += u.Runs()[id]
	}
	assert.Equal(t, runs, 1)
}

// The same with concurrent repeats through several nodes and a restart of an owner's node
// in between: a request must never run twice.
func TestRepeatedKeyRunsAtMostOnceOverRestart(t *testing.T) {
	f := startSmall(t, Config{})
	var keys []string
	for range 8 {
		keys = append(keys, newKey())
	}
	// mayHaveRun are the keys of which not all requests were refused as not run.
	mayHaveRun := make(map[string]bool)
	var mu sync.Mutex
	var group sync.WaitGroup
	for round := range 6 {
		for i, key := range keys {
			n := []string{"look-1", "look-2"}[(i+round)%2]
			group.Go(func() {
				before := runsOf(f, key)
				r := send(t, f, n, "POST", "/pay/x", map[string]string{standin.HeaderRequestID: key, lowerCaseKeyHeader: key}, strings.NewReader("draw"))
				if r.header.Get(proxy.HeaderOutcome) == string(proxy.OutcomeNotRun) {
					assert.Check(t, runsOf(f, key) == before, "%s was refused as not run and ran", key)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				mayHaveRun[key] = true
			})
		}
		group.Wait()
		if round == 2 {
			assert.NilError(t, f.StopNode("pay-1"))
			assert.NilError(t, f.StartNode("pay-1"))
			awaitTable(t, f, smallLayout().Table())
		}
	}
	ran := 0
	for _, key := range keys {
		runs := runsOf(f, key)
		assert.Assert(t, runs <= 1, "%s ran %d times", key, runs)
		assert.Assert(t, runs == 0 || mayHaveRun[key], "%s ran, though each of its requests was refused as not run", key)
		ran += runs
	}
	assert.Assert(t, ran > 0)
}

// runsOf returns how often the upstreams ran a request.
func runsOf(f *Fleet, id string) int {
	runs := 0
	for _, u := range f.Upstreams {
		runs += u.Runs()[id]
	}
	return runs
}

// A request with a streaming body is refused before the body is read, so that it can be
// sent complete to another upstream.
func TestRefusedUploadGoesElsewhereWhole(t *testing.T) {
	f := startSmall(t, Config{})
	f.Node("pay-1").SetDraining(true)
	upload := bytes.Repeat([]byte("p"), 1<<20)
	sum := sha256.Sum256(upload)
	for range 10 {
		r := send(t, f, "look-1", "POST", "/pay/x", nil, bytes.NewReader(upload))
		assert.Equal(t, r.status, http.StatusOK, "%s", r.body)
		e := r.echo(t)
		assert.Equal(t, e.Upstream, "pay-2")
		assert.Equal(t, e.SHA256, hex.EncodeToString(sum[:]))
	}
}

// An overload refusal comes at once, says that the request was not run and when to retry.
// A request refused as not run must never have run.
func TestOverloadRefusalIsTrue(t *testing.T) {
	f := startSmall(t, Config{Settings: func(n *settings.Node) { fastSettings(n); n.Queue = 1 }})
	var mu sync.Mutex
	refused := make(map[string]bool)
	var group sync.WaitGroup
	for range 60 {
		group.Go(func() {
			id := newKey()
			r := send(t, f, "look-1", "POST", "/pay/x", map[string]string{standin.HeaderRequestID: id, standin.HeaderServiceTime: "200"}, strings.NewReader("x"))
			if r.header.Get(proxy.HeaderOutcome) == string(proxy.OutcomeNotRun) {
				mu.Lock()
				defer mu.Unlock()
				refused[id] = true
				assert.Check(t, r.header.Get("Retry-After") != "")
			}
		})
	}
	group.Wait()
	assert.Assert(t, len(refused) > 0)
	for _, u := range f.Upstreams {
		for id := range u.Runs() {
			assert.Assert(t, !refused[id], "%s was refused as not run and ran", id)
		}
	}
}
