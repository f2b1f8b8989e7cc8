package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/retry"
)

// defaultBufferLimit is the default of FrontendConfig.BufferLimit.
const defaultBufferLimit = 32 << 10

// requestBody is a caller's body that can be sent again as long as nothing of
// it is gone.
type requestBody struct {
	buffered []byte // whole body, if it is short
	stream   io.Reader
	length   int64       // negative if it is not known
	touched  atomic.Bool // bytes of the stream were read
}

// errBodyTooLong reports a body over the limit of the table.
var errBodyTooLong = errors.New("request body is too long")

// newRequestBody buffers a body of up to limit bytes and wraps a longer one. A
// body longer than most, if that is not 0, gives errBodyTooLong.
func newRequestBody(r *http.Request, limit, most int64) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.length = 0
		return b, nil
	}
	if most > 0 && r.ContentLength > most {
		return nil, errBodyTooLong
	}
	if r.ContentLength > limit {
		b.stream = r.Body
		return b, nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "request body")
	case r.ContentLength >= 0 && int64(len(head)) != r.ContentLength:
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "request body")
	case int64(len(head)) > limit:
		b.stream = io.MultiReader(bytes.NewReader(head), r.Body)
		return b, nil
	}
	b.buffered, b.length = head, int64(len(head))
	return b, nil
}

// bodyProblem turns an error of newRequestBody into an answer.
func bodyProblem(err error) *Problem {
	var ne net.Error
	switch {
	case errors.Is(err, errBodyTooLong):
		return notRun(http.StatusRequestEntityTooLarge, retry.Refused, reasonBadRequest, 0)
	case errors.As(err, &ne) && ne.Timeout():
		return notRun(http.StatusRequestTimeout, retry.Refused, reasonDeadline, 0)
	}
	return notRun(http.StatusBadRequest, retry.Refused, reasonBadRequest, 0)
}

// bufferLimit is the longest body that is kept now.
func (f *Frontend) bufferLimit() int64 {
	if f.cfg.BufferTotal > 0 && f.buffered.Load() >= f.cfg.BufferTotal {
		return min(f.cfg.BufferLimit, defaultBufferLimit)
	}
	return f.cfg.BufferLimit
}

// kept is the number of bytes held for a further try.
func (b *requestBody) kept() int64 { return int64(len(b.buffered)) }

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.touched.Load() }

// streams reports whether the body is held back until admission.
func (b *requestBody) streams() bool { return b.stream != nil }

// open returns the body for one try. A streaming body gives nothing before
// admitted is closed.
func (b *requestBody) open(ctx context.Context, admitted <-chan struct{}) io.ReadCloser {
	switch {
	case b.stream != nil:
		return &heldBody{ctx: ctx, admitted: admitted, body: b}
	case len(b.buffered) > 0:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return nil
}

// heldBody waits for admission before it touches the caller's stream.
type heldBody struct {
	ctx      context.Context
	admitted <-chan struct{}
	body     *requestBody
}

func (h *heldBody) Read(p []byte) (int, error) {
	select {
	case <-h.admitted:
	default:
		select {
		case <-h.admitted:
		case <-h.ctx.Done():
			return 0, h.ctx.Err()
		}
	}
	h.body.touched.Store(true)
	return h.body.stream.Read(p)
}

// Close leaves the caller's stream open for a further try; the HTTP server
// closes it in the end.
func (h *heldBody) Close() error { return nil }

// endingBody calls end once, with whether the body was read to its end.
type endingBody struct {
	io.ReadCloser
	want int64 // expected length; negative if not known
	got  int64
	once sync.Once
	end  func(whole bool)
	done bool          // end was called
	tee  *bytes.Buffer // copy of the first bytes; nil for none
	keep int           // most bytes copied
	over bool          // more than keep came
}

func (b *endingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.got += int64(n)
	b.copyTo(p[:n])
	switch {
	case err == io.EOF && b.want >= 0 && b.got < b.want:
		err = io.ErrUnexpectedEOF
		b.finish(false)
	case err == io.EOF:
		b.finish(true)
	case err != nil:
		b.finish(false)
	}
	return n, err
}

func (b *endingBody) copyTo(p []byte) {
	if b.tee == nil || b.over {
		return
	}
	if b.tee.Len()+len(p) > b.keep {
		b.over = true
		return
	}
	b.tee.Write(p)
}

func (b *endingBody) finish(whole bool) {
	b.once.Do(func() {
		b.done = true
		b.end(whole)
	})
}

// Close ends the body; an answer that was not read to its end was cut.
func (b *endingBody) Close() error {
	b.finish(b.want >= 0 && b.got == b.want)
	return b.ReadCloser.Close()
}

// whole reads an answer of up to limit bytes to its end, and reports whether it
// is all there. It returns nil if the answer is cut, and a body that goes on for a
// longer one.
func whole(resp *http.Response, limit int64) (body io.ReadCloser, complete bool) {
	if limit == 0 || resp.ContentLength > limit || resp.Request != nil && resp.Request.Method == http.MethodHead {
		return resp.Body, false
	}
	var head bytes.Buffer
	if resp.ContentLength > 0 {
		head.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&head, io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil || resp.ContentLength >= 0 && int64(head.Len()) != resp.ContentLength:
		_ = resp.Body.Close()
		return nil, false
	case int64(head.Len()) > limit:
		return &resumedBody{Reader: io.MultiReader(&head, resp.Body), Closer: resp.Body}, false
	}
	_ = resp.Body.Close()
	resp.ContentLength = int64(head.Len())
	return io.NopCloser(&head), true
}

// resumedBody is an answer whose first bytes were read already.
type resumedBody struct {
	io.Reader
	io.Closer
}
