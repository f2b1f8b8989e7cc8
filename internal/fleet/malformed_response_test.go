package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// headerRawResponse holds, in Go syntax, the bytes that an upstream sends as its response.
const headerRawResponse = "X-Raw-Response"

// rawUpstream answers requests on their raw connections, and ends these by end.
func rawUpstream(reads int64, end func(nc *net.TCPConn)) func(string, http.Handler) http.Handler {
	return func(string, http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			sent, err := strconv.Unquote(r.Header.Get(headerRawResponse))
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, r.Body, reads)
			nc, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = nc.Close() }()
			_, _ = io.WriteString(nc, sent)
			end(nc.(*net.TCPConn))
		})
	}
}

// sendForRaw sends a request to be answered by the given bytes.
func sendForRaw(t *testing.T, f *Fleet, node, method, path, raw string, body io.Reader) response {
	t.Helper()
	return send(t, f, node, method, path, map[string]string{headerRawResponse: strconv.Quote(raw)}, body)
}

// Guards against responses of upstreams that are none, told to callers through the own node
// and another one; a status of 0 ended the handler of the node in a panic.
func TestMalformedResponseReachesNoCaller(t *testing.T) {
	f := startSmall(t, Config{Upstream: rawUpstream(0, func(*net.TCPConn) {})})
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner"
	for _, raw := range []string{
		"HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 000 Odd\r\n\r\n" + inner, "HTTP/1.1 099 Odd\r\n\r\n" + inner,
		"HTTP/1.1 101 Switching\r\n\r\n" + inner, "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n", "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nX Foo: a\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nX-Foo : a\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nX-\x01Foo: a\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nten bytes.",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Foo: a\r\n folded: b\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 103 Early Hints\r\nX Foo: a\r\n\r\n" + inner, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		t.Run(strconv.Quote(raw), func(t *testing.T) {
			for _, node := range []string{"look-1", "pay-1"} {
				for method, path := range map[string]string{"GET": "/look/x", "POST": "/pay/x"} {
					r := sendForRaw(t, f, node, method, path, raw, nil)
					assert.NilError(t, r.err)
					assert.Equal(t, r.status, http.StatusBadGateway, "%q", r.body)
				}
			}
		})
	}
}

// Guards against a part of a response told as a whole one: the upstream resets its connection
// while the body of the request is written.
func TestResponseResetAmidUploadIsNotWhole(t *testing.T) {
	f := startSmall(t, Config{Upstream: rawUpstream(20<<10, func(nc *net.TCPConn) { _ = nc.SetLinger(0) })})
	whole := 0
	const tries = 60
	for try := range tries {
		upload := bytes.NewReader(make([]byte, []int{1 << 20, 6 << 20}[try%2]))
		r := sendForRaw(t, f, []string{"pay-1", "look-1"}[try/2%2], "POST", "/pay/x", "HTTP/1.1 200 OK\r\n\r\nearly", upload)
		if r.err == nil && r.status == http.StatusOK {
			whole++
		}
	}
	assert.Equal(t, whole, 0, "of %d", tries)
}

// Guards against refusals of responses that are odd and allowed.
func TestOddResponseReachesItsCaller(t *testing.T) {
	f := startSmall(t, Config{Upstream: rawUpstream(0, func(nc *net.TCPConn) {
		_ = nc.CloseWrite()
		_, _ = io.Copy(io.Discard, nc) // an upload, until its sender closes the connection
	})})
	for _, raw := range []string{
		"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 \r\nConnection: close\r\n\r\nwhole", "HTTP/1.0 200 OK\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\n!#$%: a\r\nX-Unknown:\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 102 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		for _, node := range []string{"look-1", "pay-1"} {
			for _, upload := range []int{0, 200 << 10} {
				r := sendForRaw(t, f, node, "POST", "/pay/x", raw, bytes.NewReader(make([]byte, upload)))
				assert.NilError(t, r.err, "%q, %d", raw, upload)
				assert.Equal(t, r.status, http.StatusOK, "%q, %d: %s", raw, upload, r.body)
				assert.Equal(t, string(r.body), "whole")
			}
		}
	}
}

// Guards against a part of a response that a caller of HTTP/1.0 takes for a whole one: the end
// of its connection is all that tells it.
func TestBrokenResponseToHTTP10IsNotWhole(t *testing.T) {
	long := strings.Repeat("l", 1<<20)
	f := startSmall(t, Config{Upstream: rawUpstream(0, func(nc *net.TCPConn) {
		_, _ = io.WriteString(nc, long)
		_ = nc.SetLinger(0)
	})})
	for _, framing := range []string{"", "Content-Length: 2097152\r\n"} {
		for _, node := range []string{"look-1", "pay-1"} {
			nc, err := net.Dial("tcp", strings.TrimPrefix(CallerURL(f.Node(node)), "http://"))
			assert.NilError(t, err)
			_, err = fmt.Fprintf(nc, "GET /look/x HTTP/1.0\r\n%s: %s\r\n\r\n", headerRawResponse, strconv.Quote("HTTP/1.1 200 OK\r\n"+framing+"\r\n"))
			assert.NilError(t, err)
			raw, err := io.ReadAll(nc)
			_ = nc.Close()
			assert.Assert(t, err != nil || !bytes.Contains(raw[:min(len(raw), 20)], []byte(" 200 ")), "%q: %d bytes and an ordinary end", framing, len(raw))
		}
	}
}
