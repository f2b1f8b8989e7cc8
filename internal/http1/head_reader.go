package http1

import (
	"bufio"
	"io"
	"net/http"
)

// unlimited is the value of headReader.left outside of heads.
const unlimited = -1

// headReader bounds the bytes that are read while the head of a response is parsed. The
// parser has no bound of its own and holds in memory what it has read.
type headReader struct {
	source io.Reader
	left   int // bytes that may still be read
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left == unlimited {
		return h.source.Read(p)
	}
	if h.left == 0 {
		return 0, ErrUnboundedResponse
	}
	n, err := h.source.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// readHead reads the head of a response of at most limit bytes. The buffer of br may also
// take in bytes that follow the head; they do not count.
func (h *headReader) readHead(br *bufio.Reader, req *http.Request, limit int) (*http.Response, error) {
	h.left = limit + br.Size()
	defer func() { h.left = unlimited }()
	return http.ReadResponse(br, req)
}
