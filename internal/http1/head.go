package http1

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// Errors of a request head.
var (
	// ErrHeadTooLarge reports a head longer than Limits.HeaderBytes.
	ErrHeadTooLarge = errors.New("request head is too large")
	// ErrBadHead reports a head that two HTTP parsers could interpret differently.
	ErrBadHead = errors.New("ambiguous request head")
)

// headEnd returns the length of the head at the start of buf, including its empty line,
// or 0 if it is incomplete. It also finds a head whose lines end with bare line feeds, so
// that checkHead can reject it.
func headEnd(buf []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(buf[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		rest := buf[at:]
		switch {
		case len(rest) > 0 && rest[0] == '\n':
			return at + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return at + 2
		}
	}
}

// checkHead rejects heads that allow request smuggling: bare line feeds and carriage
// returns, folded lines, spaces before a colon, more than one length, and a length
// together with a transfer coding (RFC 9112 sections 2.2, 5 and 6.3).
func checkHead(head []byte) error {
	var lengths, codings, hosts int
	for n := 0; len(head) > 0; n++ {
		i := bytes.IndexByte(head, '\n')
		if i < 1 || head[i-1] != '\r' {
			return errors.Wrap(ErrBadHead, "a line does not end with CR LF")
		}
		line := head[:i-1]
		head = head[i+1:]
		if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
			return errors.Wrap(ErrBadHead, "a line holds a bare CR or NUL")
		}
		if n == 0 || len(line) == 0 {
			continue
		}
		name, value, ok := cutField(line)
		if !ok {
			return errors.Wrap(ErrBadHead, "a line is folded or has no field name")
		}
		switch {
		case equalFold(name, "content-length"):
			lengths++
			if !isNumber(bytes.TrimSpace(value)) {
				return errors.Wrap(ErrBadHead, "the length is not a number")
			}
		case equalFold(name, "transfer-encoding"):
			codings++
			if !equalFold(bytes.TrimSpace(value), "chunked") {
				return errors.Wrap(ErrBadHead, "unknown transfer coding")
			}
		case equalFold(name, "host"):
			hosts++
		}
	}
	if lengths+codings > 1 || hosts > 1 {
		return errors.Wrap(ErrBadHead, "more than one length or host")
	}
	return nil
}

// cutField returns the name and the value of a field's line; false if it has no valid name.
func cutField(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte(":"))
	return name, value, ok && isToken(name)
}

func isToken(b []byte) bool {
	for _, c := range b {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(b) > 0
}

// hasControl reports whether b holds a control character other than a tab.
func hasControl(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

func equalFold(b []byte, lower string) bool {
	return len(b) == len(lower) && bytes.EqualFold(b, []byte(lower))
}

func isNumber(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0 && len(b) < 19
}
