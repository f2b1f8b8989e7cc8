package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// readHead reads the head of a response of at most limit bytes. Its lines are checked as
// they arrive, and it is parsed when it is complete.
func (cc *clientConn) readHead(req *http.Request, limit int) (*http.Response, error) {
	if err := cc.awaitHead(limit); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(cc.br, req)
	if err != nil {
		return nil, errors.Mark(err, ErrMalformedResponse)
	}
	return resp, nil
}

// awaitHead waits until a complete head is buffered, without consuming it.
func (cc *clientConn) awaitHead(limit int) error {
	var head responseHead
	for checked := 0; ; {
		buf, _ := cc.br.Peek(cc.br.Buffered())
		for {
			line, n := cutLine(buf[checked:])
			if checked += n; checked > limit || n == 0 {
				break
			}
			if end, err := head.line(line); end || err != nil {
				return err
			}
		}
		if len(buf) >= limit {
			return ErrUnboundedResponse
		}
		if len(buf) == cc.br.Size() {
			cc.br = growReader(cc.br, cc.source, min(2*len(buf), limit))
		}
		if _, err := cc.br.Peek(len(buf) + 1); err != nil {
			return unexpectedEOF(err)
		}
	}
}

// unexpectedEOF returns the error of a connection that ended amid a head.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// growReader returns a reader of the given size that goes on where br stands.
func growReader(br *bufio.Reader, source io.Reader, size int) *bufio.Reader {
	buffered, _ := br.Peek(br.Buffered())
	return bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), source), size)
}
