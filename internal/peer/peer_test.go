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

func TestControlLinkTransfersFramesInBothDirections(t *testing.T) {
	a, err := NewAuthority()
	assert.NilError(t, err)
	one, two := listen(t, a, "one", nil), listen(t, a, "two", nil)
	dialled, err := one.Dial(t.Context(), "two", two.Addr())
	assert.NilError(t, err)
	large := make([]byte, 500_000)
	assert.NilError(t, dialled.Send([]byte("hello")))
	accepted, err := two.Accept(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, accepted.Peer(), "one")
	got, err := accepted.Receive()
	assert.NilError(t, err)
	assert.Equal(t, string(got), "hello")
	go func() { _ = accepted.Send(large) }()
	got, err = dialled.Receive()
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(large))
}

// A peer whose certificate comes from another authority or names another instance must
// not get a connection or a response.
func TestUntrustedPeersAreRejected(t *testing.T) {
	ours, err := NewAuthority()
	assert.NilError(t, err)
	theirs, err := NewAuthority()
	assert.NilError(t, err)
	served := false
	server := listen(t, ours, "server", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true }))
	trusted := listen(t, ours, "friend", nil)
	_, err = trusted.Dial(t.Context(), "somebody-else", server.Addr())
	assert.ErrorContains(t, err, "somebody-else")

	untrusted := listen(t, theirs, "friend", nil)
	untrusted.identity.Authority = ours.certPool()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, err := untrusted.DialRequests(ctx, "server", server.Addr())
	if err == nil { // with TLS 1.3 the client sees the rejected certificate only on its first read
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://server/", nil)
		assert.NilError(t, err)
		_, err = conn.RoundTrip(req)
		assert.Assert(t, err != nil)
	}
	assert.Assert(t, !served)
}

// BenchmarkConnection reports the CPU time of one handshake and the memory of one idle
// request connection, client and server together, for docs/CAPACITY.md.
func BenchmarkConnection(b *testing.B) {
	a, err := NewAuthority()
	assert.NilError(b, err)
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	server, client := listen(b, a, "server", h), listen(b, a, "client", nil)
	const n = 200
	memory, cpu := memoryInUse(), cpuTime()
	for range n {
		conn, err := client.DialRequests(b.Context(), "server", server.Addr())
		assert.NilError(b, err)
		roundTrip(b, conn)
	}
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/n, "cpu-us/conn")
	b.ReportMetric(float64(memoryInUse()-memory)/n, "B/conn")
}

// BenchmarkRequest reports the CPU time of one small request over an open connection,
// client and server together.
func BenchmarkRequest(b *testing.B) {
	a, err := NewAuthority()
	assert.NilError(b, err)
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	server, client := listen(b, a, "server", h), listen(b, a, "client", nil)
	conn, err := client.DialRequests(b.Context(), "server", server.Addr())
	assert.NilError(b, err)
	cpu, calls := cpuTime(), 0
	for b.Loop() {
		roundTrip(b, conn)
		calls++
	}
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(calls), "cpu-us/call")
}

// roundTrip sends one small request and reads the whole response.
func roundTrip(b *testing.B, conn *http3.ClientConn) {
	b.Helper()
	req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "https://server/", nil)
	assert.NilError(b, err)
	resp, err := conn.RoundTrip(req)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(b, err)
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(fmt.Sprint("rusage: ", err))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Peers read the first DNS name of a certificate alone, so a node must not start with a
// certificate that has its instance name in another place.
func TestIdentityMustBeNamedFirst(t *testing.T) {
	a, err := NewAuthority()
	assert.NilError(t, err)
	id, err := a.issue("one", "two")
	assert.NilError(t, err)
	assert.NilError(t, id.verify("one"))
	assert.ErrorContains(t, id.verify("two"), `its first DNS name is "one"`)
	assert.ErrorContains(t, id.verify("three"), "three")
}
