package proxy

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// copyBufferSize is the maximum number of bytes copied at once.
const copyBufferSize = 32 << 10

// copyBuffers holds buffers for copying responses.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// copyResponse sends a response and returns how many bytes of its body were forwarded.
// An error means that the response was truncated.
func copyResponse(w http.ResponseWriter, resp *http.Response) (int64, error) {
	defer func() { _ = resp.Body.Close() }()
	h := w.Header()
	for name, values := range resp.Header {
		if strings.HasPrefix(name, headerPrefix) && !sentToCallers(name) {
			continue
		}
		h[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	return copyBody(w, resp.Body)
}

// copyBody copies a response body, flushing each part as it arrives, and returns the
// number of bytes forwarded. Write errors are marked errCallerDisconnected.
func copyBody(w http.ResponseWriter, body io.Reader) (sent int64, err error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	flusher, _ := w.(http.Flusher)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return sent, errors.Mark(werr, errCallerDisconnected)
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

// sentToCallers reports whether one of the project's headers is meant for callers.
func sentToCallers(name string) bool {
	switch name {
	case HeaderOutcome, HeaderReason, HeaderRetryAfterMs, HeaderServedBy, headerReplayed:
		return true
	}
	return false
}
