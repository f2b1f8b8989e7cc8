package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/standin/rawhttp"
)

// cutAfterHeader tells the upstreams of these tests after how many bytes they end the
// connection amid their response.
const cutAfterHeader = "Cut-After"

// cutResponses are the responses of upstreams that break off, by their framing. An end of
// one without a length can't be told from a cut once its head is complete.
var cutResponses = map[string]struct{ head, body string }{
	"length":    {"Content-Length: 5\r\n\r\n", "whole"},
	"chunks":    {"Transfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
	"no length": {"\r\n", ""},
}

// cutUpstream answers on raw connections. It ends those on which a request asks for that
// amid the response, by a reset or in the ordinary way.
type cutUpstream struct {
	id            string
	framing       struct{ head, body string }
	informational string // sent before each response
	resets        bool
}

func (u *cutUpstream) answer(req *http.Request) rawhttp.Answer {
	names := ownFields(req, u.id)
	after, err := strconv.Atoi(req.Header.Get(cutAfterHeader))
	if err != nil {
		return rawhttp.Answer{Bytes: "HTTP/1.1 200 OK\r\n" + names + "Content-Length: 5\r\n\r\nwhole"}
	}
	a := rawhttp.Answer{Bytes: u.informational + ("HTTP/1.1 200 OK\r\n" + names + u.framing.head + u.framing.body)[:after], End: rawhttp.Close}
	if u.resets {
		a.End = rawhttp.Reset
	}
	return a
}

// incompleteBytes returns up to how many bytes of the response to a request do not make it
// complete.
func (u *cutUpstream) incompleteBytes(id string) int {
	head := "HTTP/1.1 200 OK\r\n" + testDialect.RequestID + ": " + id + "\r\n" + testDialect.Signature + ": " + u.id + "\r\n" + u.framing.head
	return len(head) + max(len(u.framing.body), 1) - 1
}

// Guards against successes made of a response that breaks off in its head or body: after
// each of its bytes, by an ordinary end and by a reset, in three framings, behind a whole
// response on the same connection, after informational responses, for requests with a body
// and without, from the own node and from another one.
func TestResponsesThatBreakOffAreNoSuccess(t *testing.T) {
	bodies := map[string]string{"read": "", "length": "Content-Length: 9000\r\n\r\n" + strings.Repeat("b", 9000), "chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunks(1) + "0\r\n\r\n"}
	for framing, response := range cutResponses {
		for _, informational := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			for _, resets := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %q, resets %v", framing, informational, resets), func(t *testing.T) {
					f := startFleet(t, 2, 0)
					u := &cutUpstream{framing: response, informational: informational, resets: resets}
					f.answer(func(id string, req *http.Request) rawhttp.Answer {
						own := *u
						own.id = id
						return own.answer(req)
					})
					u.id = f.upstreams[0].id
					for kind, body := range bodies {
						for after := range u.incompleteBytes("cut") {
							assertNoSuccess(t, f.callers(0), kind, body, after)
						}
					}
				})
			}
		}
	}
}

// assertNoSuccess sends a request that is answered whole and one whose response is cut, and
// checks what its caller gets.
func assertNoSuccess(t *testing.T, addr, kind, body string, after int) {
	t.Helper()
	method, path := "POST", "/write/x"
	if body == "" {
		method, path, body = "GET", "/read/x", "\r\n"
	}
	head := method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + testDialect.RequestID + ": cut\r\n" + testDialect.Deadline + ": 3000\r\n"
	nc, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	_, err = io.WriteString(nc, head+body+head+cutAfterHeader+": "+strconv.Itoa(after)+"\r\n"+body)
	assert.NilError(t, err)
	first, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	assert.Equal(t, first.StatusCode, http.StatusOK)
	_, err = io.Copy(io.Discard, first.Body)
	assert.NilError(t, err)
	cut, err := http.ReadResponse(br, nil)
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, cut.Body)
	assert.Assert(t, err != nil || cut.StatusCode >= http.StatusMultipleChoices, "%s: %d after %d bytes", kind, cut.StatusCode, after)
}
