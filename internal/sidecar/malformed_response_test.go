package sidecar

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/standin/rawhttp"
)

// responseKind is what an upstream of these tests sends: a status line, lines that follow
// it in the head, and what follows the fields that name the response as its own.
type responseKind struct {
	statusLine, fields, rest string
	end                      rawhttp.End
}

// answerBy makes all upstreams send the response that a request names in responseHeader.
func (f *fleet) answerBy(kinds map[string]responseKind) {
	f.answer(func(id string, req *http.Request) rawhttp.Answer {
		kind, ok := kinds[req.Header.Get(responseHeader)]
		if !ok {
			kind = wholeResponse
		}
		own := ownFields(req, id)
		return rawhttp.Answer{Bytes: kind.statusLine + "\r\n" + kind.fields + own + strings.ReplaceAll(kind.rest, ownFieldsMark, own), End: kind.end}
	})
}

// wholeResponse is for requests that ask for none.
var wholeResponse = responseKind{statusLine: "HTTP/1.1 200 OK", rest: "Content-Length: 5\r\n\r\nwhole"}

const (
	// responseHeader names the response that a request gets.
	responseHeader = "Test-Response"
	// ownFieldsMark stands for the result of ownFields in responseKind.rest.
	ownFieldsMark = "OWN-FIELDS"
	// innerResponse is a whole response amid another one.
	innerResponse = "HTTP/1.1 200 OK\r\n" + ownFieldsMark + "Content-Length: 5\r\n\r\ninner"
)

// forEachKind sends a read and a write for each kind of response through each sidecar, and
// checks what their callers get. Whole responses come before on the same connections.
func (f *fleet) forEachKind(t *testing.T, kinds map[string]responseKind, check func(t *testing.T, status int, header http.Header, body string)) {
	for name := range kinds {
		t.Run(name, func(t *testing.T) {
			for i := range f.sidecars {
				for range f.upstreams {
					status, _, body := f.send(f.request(i, "GET", "/read/x", ""))
					assert.Equal(t, status, http.StatusOK, body)
				}
				for _, req := range []*http.Request{f.request(i, "GET", "/read/x", ""), f.request(i, "POST", "/write/x", "body")} {
					req.Header.Set(responseHeader, name)
					status, header, body := f.send(req)
					check(t, status, header, body)
				}
			}
		})
	}
}

// assertNoResponse checks that callers get none of the responses, and that they are told so
// before their deadline.
func assertNoResponse(t *testing.T, kinds map[string]responseKind) {
	t.Helper()
	f := startFleet(t, 2, 0)
	f.answerBy(kinds)
	f.forEachKind(t, kinds, func(t *testing.T, status int, header http.Header, body string) {
		assert.Equal(t, status, http.StatusBadGateway, "%q", body)
		assert.Equal(t, header.Get(testDialect.Signature), "")
	})
}

// Guards against refusals of responses that are odd and allowed.
func TestOddResponseIsServed(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n\r\n2;any\r\nwh\r\n3\r\nole\r\n0\r\nX Odd: in a trailer, which is not passed on\r\n\r\n"
	kinds := map[string]responseKind{
		"no reason":      {"HTTP/1.1 200", "", "Content-Length: 5\r\n\r\nwhole", rawhttp.KeepOpen},
		"empty reason":   {"HTTP/1.1 200 ", "", chunks, rawhttp.KeepOpen},
		"unknown fields": {"HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~: a\r\nX-Unknown:\r\nX-Bytes: \xff\t\"\r\n", "Content-Length: 5\r\n\r\nwhole", rawhttp.KeepOpen},
		"no length":      {"HTTP/1.1 200 OK", "", "\r\nwhole", rawhttp.Close},
		"version 1.0":    {"HTTP/1.0 200 OK", "", "\r\nwhole", rawhttp.Close},
		"informational":  {"HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 102\r\n\r\nHTTP/1.1 200 OK", "", chunks, rawhttp.KeepOpen},
	}
	f := startFleet(t, 2, 0)
	f.answerBy(kinds)
	f.forEachKind(t, kinds, func(t *testing.T, status int, header http.Header, body string) {
		assert.Equal(t, status, http.StatusOK, body)
		assert.Equal(t, body, "whole")
		assert.Assert(t, header.Get(testDialect.Signature) != "")
	})
}

// Guards against the bytes behind a status that is none, told to callers as the response:
// a status below 200 was taken for an informational one.
func TestResponseWithoutValidStatusIsNone(t *testing.T) {
	kinds := make(map[string]responseKind)
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for framing, rest := range map[string]string{
			"length":         "Content-Length: 5\r\n\r\nwhole",
			"chunks":         "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
			"empty":          "Content-Length: 0\r\n\r\n",
			"no length":      "\r\nwhole",
			"a response":     "\r\n" + innerResponse,
			"a response too": "Content-Length: 500\r\n\r\n" + innerResponse,
		} {
			kinds[status+" with "+framing] = responseKind{statusLine: "HTTP/1.1 " + status + " Odd", rest: rest}
		}
	}
	assertNoResponse(t, kinds)
}

// Guards against responses whose head has a line that is no field, told to callers without
// that line, or with a body that the line frames for other readers.
func TestResponseWithInvalidFieldNameIsNone(t *testing.T) {
	const line, chunks = "HTTP/1.1 200 OK", "5\r\nwhole\r\n0\r\n\r\n"
	kinds := make(map[string]responseKind)
	for _, name := range []string{"X Foo: a", "X-Foo : a", " X-Foo: a", "X-Foo\t: a", "X-\x01Foo: a", "X-\x7fFoo: a", "X\x00Foo: a",
		"X\rFoo: a", ": a", "X-Foo", "X(Foo: a", "X-F\xc3\xb6\xc3\xb6: a", "X-Whole: a\r\n folded: b", "X-Whole: a\r\n\tfolded"} {
		kinds[strconv.Quote(name)+", length"] = responseKind{line, name + "\r\n", "Content-Length: 5\r\n\r\nwhole", rawhttp.KeepOpen}
		kinds[strconv.Quote(name)+", chunks"] = responseKind{line, name + "\r\n", "Transfer-Encoding: chunked\r\n\r\n" + chunks, rawhttp.KeepOpen}
		kinds[strconv.Quote(name)+", last"] = responseKind{line, "Content-Length: 5\r\n", name + "\r\n\r\nwhole", rawhttp.KeepOpen}
	}
	for _, framing := range []string{"Content-Length : 3", "Content Length: 3", "Content-Length\t: 3", "Transfer-Encoding : chunked", "Transfer Encoding: chunked"} {
		kinds[strconv.Quote(framing)+", alone"] = responseKind{line, framing + "\r\n", "\r\nten bytes.", rawhttp.Close}
		kinds[strconv.Quote(framing)+", length"] = responseKind{line, framing + "\r\n", "Content-Length: 5\r\n\r\nwhole", rawhttp.KeepOpen}
		kinds[strconv.Quote(framing)+", chunks"] = responseKind{line, framing + "\r\n", "Transfer-Encoding: chunked\r\n\r\n" + chunks, rawhttp.KeepOpen}
	}
	assertNoResponse(t, kinds)
}

// Guards against responses of another node that are none: forwarded requests and peer
// requests get them from its address, in place of that node.
func TestMalformedResponseOfAnotherNodeIsNone(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 000 Odd\r\n\r\n" + innerResponse, "HTTP/1.1 200 OK\r\nX Foo: a\r\n" + ownFieldsMark + "Content-Length: 5\r\n\r\ninner",
		"HTTP/1.1 103 Early Hints\r\nX-Foo : a\r\n\r\n" + innerResponse, "HTTP/1.1 200 OK\r\n" + ownFieldsMark + "Content-Length : 3\r\n\r\ninner",
	} {
		t.Run(strconv.Quote(raw), func(t *testing.T) {
			f := startFleet(t, 2, 0)
			f.sidecars[1].closeAll()
			l, err := net.Listen("tcp", f.settings[1].Peers.String())
			assert.NilError(t, err)
			var forwarded atomic.Int32
			f.serveRaw(l, func(nc net.Conn) {
				rawhttp.Serve(nc, func(req *http.Request) rawhttp.Answer {
					if req.Header.Get(testDialect.RequestID) != "" {
						forwarded.Add(1)
					}
					return rawhttp.Answer{Bytes: strings.ReplaceAll(raw, ownFieldsMark, ownFields(req, f.upstreams[1].id)), End: rawhttp.Close}
				})
			})
			for range 20 {
				for _, req := range []*http.Request{f.request(0, "GET", "/read/x", ""), f.request(0, "POST", "/write/x", "body")} {
					_, _, body := f.send(req)
					assert.Assert(t, !strings.Contains(body, "inner"), body)
				}
			}
			assert.Assert(t, forwarded.Load() > 0)
		})
	}
}
