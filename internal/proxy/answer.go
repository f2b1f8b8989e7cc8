package proxy

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxForwarded is the most bytes copied at once.
const maxForwarded = 32 << 10

// copyPool holds buffers for copying answers.
var copyPool = sync.Pool{New: func() any { b := make([]byte, maxForwarded); return &b }}

// copyResponse sends an answer, and returns how many bytes of its body were passed
// on. An error means that it was cut.
func copyResponse(w http.ResponseWriter, resp *http.Response) (int64, error) {
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

// copyBody copies an answer's body, sending each part on as it comes, and returns
// how many bytes it passed on. Errors of writing are errCallerLeft.
func copyBody(w http.ResponseWriter, body io.Reader) (sent int64, err error) {
	buf := copyPool.Get().(*[]byte)
	defer copyPool.Put(buf)
	flusher, _ := w.(http.Flusher)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return sent, errors.Mark(werr, errCallerLeft)
			}
			sent += int64(n)
		}
		if err == io.EOF {
			return sent, nil
		}
		if err != nil {
			return sent, err
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
