package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// earlyResponse is how an upstream answers a long upload before it has read it: what it reads
// of it, the response, which ends with the connection, and when that ends by a reset.
type earlyResponse struct {
	version string
	reads   int64
	wait    time.Duration
}

const earlyBody = "early"

// respond sends the response to the first request of a connection.
func (e earlyResponse) respond(upstream string, nc net.Conn) (io.Reader, error) {
	br := bufio.NewReader(nc)
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil, err
	}
	if _, err := io.CopyN(io.Discard, req.Body, e.reads); err != nil {
		return nil, err
	}
	_, err = io.WriteString(nc, "HTTP/"+e.version+" 200 OK\r\n"+ownFields(req, upstream)+"\r\n"+earlyBody)
	return req.Body, err
}

// uploadResult is what the caller of an upload got; err is set if its response was not whole.
type uploadResult struct {
	status int
	body   string
	err    error
}

// upload sends a long body through a sidecar, with a length or in chunks.
func (f *fleet) upload(i, size int, chunked bool) uploadResult {
	req := f.request(i, "POST", "/write/x", "")
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, size))), int64(size)
	if chunked {
		req.ContentLength = -1
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return uploadResult{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return uploadResult{status: resp.StatusCode, body: string(body), err: err}
}

// Guards against a part of a response told as a whole one: an upstream answers an upload
// that is still being written, without a length, and resets the connection. The write takes
// the error of the reset from the socket, so that a read finds an ordinary end.
func TestResponseResetAmidAnUploadIsNotWhole(t *testing.T) {
	const megabyte = 1 << 20
	for _, e := range []earlyResponse{{"1.1", 0, 0}, {"1.0", 0, 0}, {"1.1", 20 << 10, 0}, {"1.1", 0, 2 * time.Millisecond}, {"1.1", 20 << 10, 30 * time.Millisecond}} {
		t.Run(fmt.Sprintf("version %s, %d bytes read, after %v", e.version, e.reads, e.wait), func(t *testing.T) {
			f := startFleet(t, 2, 0)
			f.replaceUpstreams(func(id string, nc net.Conn) {
				if _, err := e.respond(id, nc); err != nil {
					return
				}
				time.Sleep(e.wait)
				_ = nc.(*net.TCPConn).SetLinger(0)
			})
			whole := 0
			const tries = 24
			for try := range tries {
				size := []int{megabyte / 10, megabyte, 6 * megabyte}[try%3]
				if r := f.upload(try/3%2, size, try/6%2 == 1); r.err == nil && r.status == http.StatusOK {
					whole++
				}
			}
			assert.Equal(t, whole, 0, "of %d", tries)
		})
	}
}

// Guards against refusals of whole early responses: the upstream ends its side in the
// ordinary way, reads the upload or not, and the connection is reset only later.
func TestEarlyResponseIsServed(t *testing.T) {
	for _, drains := range []bool{true, false} {
		t.Run(fmt.Sprintf("drains %v", drains), func(t *testing.T) {
			f := startFleet(t, 2, 0)
			f.replaceUpstreams(func(id string, nc net.Conn) {
				upload, err := earlyResponse{version: "1.1"}.respond(id, nc)
				if err != nil {
					return
				}
				_ = nc.(*net.TCPConn).CloseWrite()
				if drains {
					_, _ = io.Copy(io.Discard, upload)
					return
				}
				time.Sleep(50 * time.Millisecond) // the end arrives; the rest of the upload is never read
			})
			for try := range 12 {
				r := f.upload(try%2, []int{100 << 10, 6 << 20}[try/2%2], try%4 == 3)
				assert.NilError(t, r.err)
				assert.Equal(t, r.status, http.StatusOK)
				assert.Equal(t, r.body, earlyBody)
			}
		})
	}
}

// As TestEarlyResponseIsServed, with responses whose framing marks their end.
func TestEarlyResponseWithLengthIsServed(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.replaceUpstreams(func(id string, nc net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		framing := "Content-Length: 5\r\n\r\n" + earlyBody
		if req.ContentLength < 0 {
			framing = "Transfer-Encoding: chunked\r\n\r\n5\r\n" + earlyBody + "\r\n0\r\n\r\n"
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 201\r\nConnection: close\r\n"+ownFields(req, id)+framing)
		time.Sleep(50 * time.Millisecond) // the response arrives; the upload is never read
	})
	for try := range 12 {
		r := f.upload(try%2, []int{100 << 10, 6 << 20}[try/2%2], try%4 == 3)
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusCreated, "%d: %s", try, r.body)
		assert.Equal(t, r.body, earlyBody)
	}
}

// Guards against a part of a response that a caller of HTTP/1.0 takes for a whole one: the end
// of its connection is all that tells it. The response is longer than what is buffered, and
// breaks off without or amid its framing.
func TestBrokenResponseToHTTP10IsNotWhole(t *testing.T) {
	const long = 4 * responseBufferLimit
	for name, framing := range map[string]string{"no length": "\r\n", "length": fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*long), "chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 2*long)} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, 0)
			f.replaceUpstreams(func(id string, nc net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					return
				}
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+ownFields(req, id)+framing)
				_, _ = nc.Write(make([]byte, long))
				time.Sleep(20 * time.Millisecond) // the start is passed on
				_ = nc.(*net.TCPConn).SetLinger(0)
			})
			for try := range 8 {
				nc, err := net.Dial("tcp", f.callers(try%2))
				assert.NilError(t, err)
				_, err = fmt.Fprintf(nc, "GET /read/x HTTP/1.0\r\nHost: shop.example\r\n%s: old%d\r\n%s: 2000\r\n\r\n", testDialect.RequestID, try, testDialect.Deadline)
				assert.NilError(t, err)
				raw, err := io.ReadAll(nc)
				_ = nc.Close()
				isSuccess := bytes.HasPrefix(raw, []byte("HTTP/1.1 200"))
				assert.Assert(t, err != nil || !isSuccess, "%d bytes and an ordinary end", len(raw))
			}
		})
	}
}
