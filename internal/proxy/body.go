package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// bufferLimit is the longest request body kept for a further try. Longer ones
// stream, and are held back until the request is admitted.
const bufferLimit = 32 << 10

// requestBody is a caller's body that can be sent again as long as nothing of
// it is gone.
type requestBody struct {
	buffered []byte // whole body, if it is short
	stream   io.ReadCloser
	length   int64
	touched  atomic.Bool // bytes of the stream were read
}

// newRequestBody buffers a short body and wraps a long one.
func newRequestBody(r *http.Request) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return b, nil
	}
	if r.ContentLength < 0 || r.ContentLength > bufferLimit {
		b.stream = r.Body
		return b, nil
	}
	var err error
	b.buffered, err = io.ReadAll(io.LimitReader(r.Body, r.ContentLength+1))
	if err != nil {
		return nil, errors.Wrap(err, "request body")
	}
	if int64(len(b.buffered)) != r.ContentLength {
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "request body")
	}
	return b, nil
}

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
