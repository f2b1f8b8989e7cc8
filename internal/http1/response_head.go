package http1

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrMalformedResponse is returned when a server sends bytes that are not the head of a
// response. Nothing of them is acted on, and what follows them is not read.
var ErrMalformedResponse = errors.New("malformed response")

// responseHead checks the lines of a response's head as they arrive. It is the only place
// that decides whether bytes of a server are a response: a parser gets them only if all of
// its lines keep to the grammar (RFC 9112 section 4). The zero value awaits the status line.
type responseHead struct {
	status  int // 0 before the status line
	http10  bool
	lengths int // lines that give a length
	codings int // lines that give a transfer coding
}

// line checks the next line, given without its end, and reports whether it ends the head.
func (h *responseHead) line(line []byte) (end bool, err error) {
	switch {
	case h.status == 0:
		return false, h.statusLine(line)
	case len(line) == 0:
		return true, h.checkFraming()
	}
	return false, h.fieldLine(line)
}

// informational reports whether the head is that of an informational response, which
// another head follows.
func (h *responseHead) informational() bool { return isInformational(h.status) }

const (
	// statusPrefix is how the status line of a server that speaks HTTP/1 begins; its
	// minor version follows.
	statusPrefix = "HTTP/1."
	// minStatusLine is the length of a status line that has no reason phrase, nor the space
	// before it, which many servers leave out.
	minStatusLine = len(statusPrefix + "1 200")
	// maxStatus is the highest status code (RFC 9110 section 15).
	maxStatus = 599
)

// statusLine checks the status line.
func (h *responseHead) statusLine(line []byte) error {
	if len(line) < minStatusLine || !bytes.HasPrefix(line, []byte(statusPrefix)) || line[len(statusPrefix)+1] != ' ' {
		return errors.Wrap(ErrMalformedResponse, "no status line of HTTP/1")
	}
	minor, code, reason := line[len(statusPrefix):len(statusPrefix)+1], line[minStatusLine-3:minStatusLine], line[minStatusLine:]
	if !isNumber(minor) || !isNumber(code) {
		return errors.Wrap(ErrMalformedResponse, "version or status is not a number")
	}
	if len(reason) > 0 && reason[0] != ' ' || hasControl(reason) {
		return errors.Wrap(ErrMalformedResponse, "invalid reason phrase")
	}
	h.http10 = minor[0] == '0'
	h.status = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if !isInformational(h.status) && !IsFinalStatus(h.status) {
		return errors.Wrapf(ErrMalformedResponse, "invalid status %s", code)
	}
	return nil
}

// fieldLine checks the line of a field. A folded line has no name: whether it belongs to the
// value before it or is a field of its own, readers answer differently.
func (h *responseHead) fieldLine(line []byte) error {
	name, value, ok := cutField(line)
	if !ok {
		return errors.Wrap(ErrMalformedResponse, "a line has no valid field name")
	}
	if hasControl(value) {
		return errors.Wrap(ErrMalformedResponse, "a field's value holds a control character")
	}
	switch {
	case equalFold(name, "content-length"):
		h.lengths++
	case equalFold(name, "transfer-encoding"):
		h.codings++
	}
	return nil
}

// checkFraming checks that the head does not say in two ways where its body ends, of which
// readers may choose either (RFC 9112 sections 6.1 and 6.3). The parser checks the values,
// and takes a repeated length that is the same.
func (h *responseHead) checkFraming() error {
	if h.codings > 0 && (h.http10 || h.lengths > 0) {
		return errors.Wrap(ErrMalformedResponse, "a transfer coding beside a length or in HTTP/1.0")
	}
	return nil
}

// isInformational reports whether a status is one of responses that precede another one. No
// request asks for another protocol, so that a response which switches to one is none.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsFinalStatus reports whether a status is one of responses that no other one follows.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// cutLine returns the first line of buf without its end and the number of bytes with it; 0
// if the line is incomplete. A bare line feed ends a line too (RFC 9112 section 2.2).
func cutLine(buf []byte) (line []byte, n int) {
	i := bytes.IndexByte(buf, '\n')
	if i < 0 {
		return nil, 0
	}
	return bytes.TrimSuffix(buf[:i], []byte{'\r'}), i + 1
}
