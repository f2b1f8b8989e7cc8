package http1

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// readRequest reads one request. A status other than 0 rejects it; a nil request with
// status 0 means that the connection has ended.
func (c *conn) readRequest(limits Limits) (*http.Request, int) {
	head, err := c.awaitHead(limits.HeaderBytes)
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, 0
	}
	if checkHead(head) != nil {
		return nil, http.StatusBadRequest
	}
	req, err := http.ReadRequest(c.br)
	if err != nil || req.Host == "" && req.ProtoAtLeast(1, 1) {
		return nil, http.StatusBadRequest
	}
	return req, 0
}

// awaitHead waits until a complete head is buffered and returns it without consuming it.
func (c *conn) awaitHead(limit int) ([]byte, error) {
	for {
		buf, _ := c.br.Peek(c.br.Buffered())
		if n := headEnd(buf); n > 0 {
			return buf[:n], nil
		}
		if len(buf) >= limit {
			return nil, ErrHeadTooLarge
		}
		if len(buf) == c.br.Size() {
			c.br = growReader(c.br, c.rd, max(limit, 2*len(buf)))
		}
		if _, err := c.br.Peek(c.br.Buffered() + 1); err != nil {
			return nil, err
		}
	}
}
