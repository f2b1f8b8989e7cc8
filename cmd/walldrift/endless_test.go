package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/proxy"
)

// endlessResponses are responses of upstreams in trouble: what they begin with, and what
// follows until the caller closes the connection.
var endlessResponses = map[string]struct{ first, repeated string }{
	"no response":         {"", "no response at all "},
	"header lines":        {"HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("m", 100) + "\r\n"},
	"one header line":     {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("l", 100)},
	"early hints":         {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	"chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("c", 1024) + "\r\n"},
	"one chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("e", 1024)},
	"trailer":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-More: " + strings.Repeat("t", 100) + "\r\n"},
	"body":                {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("b", 1024)},
}

// serveEndless answers each request at an address with bytes that do not end, and counts
// them.
func serveEndless(t *testing.T, addr, first, repeated string, sent *atomic.Int64) {
	l, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	block := bytes.Repeat([]byte(repeated), 1+(32<<10)/len(repeated))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, first)
				for err == nil {
					var n int
					n, err = conn.Write(block)
					sent.Add(int64(n))
				}
			}()
		}
	}()
}

// memoryPeak returns the greatest memory that a process has had, in bytes.
func (p *processFleet) memoryPeak(name string) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.commands[name].Process.Pid))
	assert.NilError(p.t, err, "%s has ended", name)
	_, rest, ok := strings.Cut(string(raw), "VmHWM:")
	assert.Assert(p.t, ok, "%s has ended", name)
	kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	assert.NilError(p.t, err)
	return kb << 10
}

// Guards against nodes that grow with what their upstreams send without end, beyond the
// memory of the smallest machine.
func TestNodesHoldLittleOfEndlessResponses(t *testing.T) {
	const memory, callers, requestsOfEach, readAtMost = 184 << 20, 8, 5, 1 << 20
	for name, c := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			p := startProcessFleet(t)
			via := p.plan.Nodes[0]
			p.awaitTable("1-")
			p.kill("upstreams")
			var sent atomic.Int64
			for _, n := range p.plan.Nodes {
				serveEndless(t, n.Upstream, c.first, c.repeated, &sent)
			}
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					for range requestsOfEach {
						req, err := http.NewRequest(http.MethodGet, "http://"+via.Callers+"/tariff/x", nil)
						if err != nil {
							return
						}
						req.Header.Set(proxy.HeaderTimeout, "2000")
						resp, err := http.DefaultClient.Do(req)
						if err != nil {
							continue
						}
						_, _ = io.CopyN(io.Discard, resp.Body, readAtMost)
						_ = resp.Body.Close()
					}
				})
			}
			group.Wait()
			assert.Assert(t, sent.Load() > 0, "no upstream was asked")
			for _, n := range p.plan.Nodes {
				assert.Check(t, p.memoryPeak(n.Name) < memory, n.Name)
				t.Logf("%s: %d MB at most", n.Name, p.memoryPeak(n.Name)>>20)
			}
		})
	}
}
