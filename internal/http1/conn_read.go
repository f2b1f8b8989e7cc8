package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// read reads one request. A status other than 0 refuses it; a nil request
// without one means that the connection has ended.
func (c *conn) read(limits Limits) (*http.Request, int) {
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

// awaitHead waits until a whole head is buffered and returns it unread.
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
			c.grow(limit)
		}
		if _, err := c.br.Peek(c.br.Buffered() + 1); err != nil {
			return nil, err
		}
	}
}

// grow replaces the read buffer by a larger one.
func (c *conn) grow(limit int) {
	old, _ := c.br.Peek(c.br.Buffered())
	kept := bytes.Clone(old)
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(kept), c.rd), max(limit, 2*len(kept)))
}
