package proxy

import (
	"io"
	"net/http"
	"strings"
	"sync"
)

// maxForwarded is the most bytes copied at once.
const maxForwarded = 32 << 10

// copyPool holds buffers for copying answers.
var copyPool = sync.Pool{New: func() any { b := make([]byte, maxForwarded); return &b }}

// copyResponse sends an answer. An error means that it was cut.
func copyResponse(w http.ResponseWriter, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	h := w.Header()
	for name, values := range resp.Header {
		if strings.HasPrefix(name, headerPrefix) && !forCallers(name) {
			continue
		}
		h[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	return copyBody(w, resp.Body)
}

// copyBody copies an answer's body, sending each part on as it comes.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	buf := copyPool.Get().(*[]byte)
	defer copyPool.Put(buf)
	flusher, _ := w.(http.Flusher)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if n < len(*buf) && flusher != nil {
			flusher.Flush()
		}
	}
}

// forCallers reports whether a header of the project is meant for callers.
func forCallers(name string) bool {
	switch name {
	case HeaderOutcome, HeaderReason, HeaderRetryAfterMs, HeaderServedBy, headerReplayed:
		return true
	}
	return false
}
