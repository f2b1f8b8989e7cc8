package http1

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/standin/rawhttp"
)

// ownResponse is a whole response to the request "a".
const ownResponse = "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 2\r\n\r\nok"

// serveRaw answers each request with the bytes of answer, and keeps the connection open or
// closes it.
func serveRaw(t *testing.T, answer string, closes bool) string {
	t.Helper()
	end := rawhttp.KeepOpen
	if closes {
		end = rawhttp.Close
	}
	addr, l, err := rawhttp.Start(rawhttp.Answer{Bytes: answer, End: end})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return addr
}

// malformedStatusLines are no status lines, or have no valid status.
var malformedStatusLines = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
	"HTTP/1.1 0 OK", "HTTP/1.1 00 OK", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -01 OK",
	"HTTP/1.1 20\x00 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK",
	"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.10 200 OK", "HTTP/1.x 200 OK",
	"http/1.1 200 OK", "ICY 200 OK", "",
}

// Guards against a response made of bytes that are none, and of what follows them: each
// status line before a whole response, alone, after informational responses and after a
// response to another request. The connection stays open, so only the bytes can tell.
func TestMalformedStatusLine(t *testing.T) {
	for _, line := range malformedStatusLines {
		assertMalformed(t, line+"\r\n"+idHeader+": a\r\nContent-Length: 0\r\n\r\n")
	}
}

// malformedLines are no lines of a head's fields, or contradict others as to where its body
// ends.
var malformedLines = []string{
	"X Foo: a", "X-Foo : a", "X-Foo\t: a", " X-Foo: a", "\tX-Foo: a", "X-\x00Foo: a", "X-\x01Foo: a", "X-\x0bFoo: a", "X-\x1fFoo: a", "X-\x7fFoo: a",
	"X-\rFoo: a", "X-\x80Foo: a", "X-F\xc3\xb6\xc3\xb6: a", "X(Foo: a", "\"X\": a", ": a", "X-Foo", "X-Foo: a\r\n folded", "X-Foo: a\r\n\tfolded: b",
	"X-Foo: \x00", "X-Foo: \x1b", "X-Foo: \x7f", "X-Foo: a\rb",
	"Content-Length : 3", "Content Length: 3", " Content-Length: 3", "Content-Length: 3\r\nContent-Length: 4", "Content-Length: -1", "Content-Length: +3", "Content-Length: 3x", "Content-Length: 3, 4", "Content-Length: 99999999999999999999",
	"Transfer-Encoding : chunked", "Transfer Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 3", "Content-Length: 3\r\nTransfer-Encoding: chunked",
	"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: \x0bchunked", "Transfer-Encoding: identity",
}

// Guards against a response whose head has a line that readers take for different things.
func TestMalformedLine(t *testing.T) {
	for _, line := range malformedLines {
		assertMalformed(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+idHeader+": a\r\n\r\n")
		assertMalformed(t, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\n"+line+"\r\n\r\n")
		assertMalformed(t, "HTTP/1.1 103 Early Hints\r\nLink: l\r\n"+line+"\r\n\r\n")
		assertMalformed(t, "HTTP/1.1 200 OK\r\n"+idHeader+": b\r\n"+line+"\r\n\r\n")
	}
	assertMalformed(t, "HTTP/1.0 200 OK\r\n"+idHeader+": a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
}

// assertMalformed checks that a server that sends bytes, behind what may stand before a
// response, and then a whole response, has sent none.
func assertMalformed(t *testing.T, sent string) {
	t.Helper()
	for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n", responseToOther} {
		addr := serveRaw(t, before+sent+ownResponse, false)
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			body, err := roundTrip(newTestClient(), newRequest(t, addr, method, "a", nil))
			assert.Assert(t, errors.Is(err, ErrMalformedResponse), "%q: %q, %v", before+sent, body, err)
		}
		if before == responseToOther {
			continue // net/http knows no ids
		}
		body, err := roundTrip(newTestTransport(t), newRequest(t, addr, "GET", "a", nil))
		assert.Assert(t, err != nil, "%q: %q", before+sent, body)
	}
}

var responseToOther = strings.Replace(ownResponse, ": a", ": b", 1)

func newTestTransport(t *testing.T) *CheckedTransport {
	transport := NewCheckedTransport(&http.Transport{}, &net.Dialer{})
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// A malformed status line ends the exchange when it has arrived, not only with its head.
func TestMalformedStatusLineWithoutRest(t *testing.T) {
	addr := serveRaw(t, "HTTP/1.1 000 OK\r\n", false)
	_, err := roundTrip(newTestClient(), newRequest(t, addr, "GET", "a", nil))
	assert.Assert(t, errors.Is(err, ErrMalformedResponse), "%v", err)
}

// Guards against refusals of responses that are odd and allowed.
func TestOddResponsesAreRead(t *testing.T) {
	const own, length = idHeader + ": a\r\n", "Content-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		sent   string
		closes bool
	}{
		{sent: "HTTP/1.1 200\r\n" + own + length},
		{sent: "HTTP/1.1 200 \r\n" + own + length},
		{sent: "HTTP/1.1 200 very  \tw\xc3\xa9ll\r\n" + own + length},
		{sent: "HTTP/1.1 299 OK\r\n" + own + length},
		{sent: "HTTP/1.1 599 \r\n" + own + length},
		{sent: "HTTP/1.0 200 OK\r\n" + own + length},
		{sent: "HTTP/1.9 200 OK\r\n" + own + length},
		{sent: "HTTP/1.1 200 OK\n" + strings.ReplaceAll(own+length, "\r", "")},
		{sent: "HTTP/1.1 200 OK\r\n" + own + "\r\nok", closes: true},
		{sent: "HTTP/1.0 200\r\n" + own + "\r\nok", closes: true},
		{sent: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\nx:\r\nX-Empty: \t \r\nX-Any:\t\"(\xff\x80)\" \t,\r\n" + own + length},
		{sent: "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 2\r\n" + length},
		{sent: "HTTP/1.1 200 OK\r\n" + own + "transfer-encoding:\tChunked\r\n\r\n2;any=x\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"},
		{sent: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199\r\nAny: x\r\n\r\nHTTP/1.1 200 OK\r\n" + own + length},
	} {
		addr := serveRaw(t, c.sent, c.closes)
		for _, client := range []http.RoundTripper{newTestClient(), newTestTransport(t)} {
			for range 2 { // the second one on the same connection, where it stays open
				body, err := roundTrip(client, newRequest(t, addr, "GET", "a", nil))
				assert.NilError(t, err, "%q", c.sent)
				assert.Equal(t, body, "ok", "%q", c.sent)
			}
		}
	}
}
