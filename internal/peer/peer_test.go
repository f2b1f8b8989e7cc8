package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func listen(t testing.TB, a *Authority, name string, h http.Handler) *Endpoint {
	t.Helper()
	id, err := a.Issue(name)
	assert.NilError(t, err)
	e, err := Listen(loopback, id, h, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func TestControlLinkCarriesFramesBothWays(t *testing.T) {
	a, err := NewAuthority()
	assert.NilError(t, err)
	one, two := listen(t, a, "one", nil), listen(t, a, "two", nil)
	out, err := one.Dial(t.Context(), "two", two.Addr())
	assert.NilError(t, err)
	big := make([]byte, 500_000)
	assert.NilError(t, out.Send([]byte("hello")))
	in, err := two.Accept(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, in.Peer(), "one")
	got, err := in.Receive()
	assert.NilError(t, err)
	assert.Equal(t, string(got), "hello")
	go func() { _ = in.Send(big) }()
	got, err = out.Receive()
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(big))
}

// A peer of another authority, or under another name, gets nothing.
func TestStrangersGetNothing(t *testing.T) {
	ours, err := NewAuthority()
	assert.NilError(t, err)
	theirs, err := NewAuthority()
	assert.NilError(t, err)
	served := false
	server := listen(t, ours, "server", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true }))
	friend := listen(t, ours, "friend", nil)
	_, err = friend.Dial(t.Context(), "somebody-else", server.Addr())
	assert.ErrorContains(t, err, "somebody-else")

	stranger := listen(t, theirs, "friend", nil)
	stranger.identity.Authority = ours.pool()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, err := stranger.DialRequests(ctx, "server", server.Addr())
	if err == nil { // TLS 1.3: the client learns of the refusal with its first read
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://server/", nil)
		assert.NilError(t, err)
		_, err = conn.RoundTrip(req)
		assert.Assert(t, err != nil)
	}
	assert.Assert(t, !served)
}

// BenchmarkConnection gives the processor time of one handshake and the memory
// of one idle request connection, over both ends, for docs/CAPACITY.md.
func BenchmarkConnection(b *testing.B) {
	a, err := NewAuthority()
	assert.NilError(b, err)
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	server, client := listen(b, a, "server", h), listen(b, a, "client", nil)
	const n = 200
	memory, cpu := inUse(), cpuTime()
	for range n {
		conn, err := client.DialRequests(b.Context(), "server", server.Addr())
		assert.NilError(b, err)
		exchange(b, conn)
	}
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/n, "cpu-us/conn")
	b.ReportMetric(float64(inUse()-memory)/n, "B/conn")
}

// BenchmarkRequest gives the processor time of one small request over an open
// connection, both ends.
func BenchmarkRequest(b *testing.B) {
	a, err := NewAuthority()
	assert.NilError(b, err)
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	server, client := listen(b, a, "server", h), listen(b, a, "client", nil)
	conn, err := client.DialRequests(b.Context(), "server", server.Addr())
	assert.NilError(b, err)
	cpu, calls := cpuTime(), 0
	for b.Loop() {
		exchange(b, conn)
		calls++
	}
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(calls), "cpu-us/call")
}

// exchange sends one small request and reads its answer.
func exchange(b *testing.B, conn *http3.ClientConn) {
	b.Helper()
	req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "https://server/", nil)
	assert.NilError(b, err)
	resp, err := conn.RoundTrip(req)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(b, err)
}

// inUse returns heap and stacks in use.
func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(fmt.Sprint("rusage: ", err))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
