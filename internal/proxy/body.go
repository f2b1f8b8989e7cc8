package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/retry"
)

// defaultBufferLimit is the default of FrontendConfig.BufferLimit.
const defaultBufferLimit = 32 << 10

// requestBody is a caller's body. Each try opens it, and only the try in progress may read
// it. It can be sent again as long as no try has read from a streamed body.
type requestBody struct {
	buffered   []byte // the complete body, if it is short
	stream     io.Reader
	length     int64  // negative if unknown
	onLateRead func() // called for each read by a try that has ended; nil for none
	beforeRead func() // called before each read of the stream by a try; nil for none

	mu       sync.Mutex
	reader   *awaitingBody // of the try in progress; nil if there is none
	consumed bool          // a try has read from the stream
}

// errTryEnded is returned by reads of a request body whose try has ended.
var errTryEnded = errors.New("the try that reads the request body has ended")

// Errors of newRequestBody.
var (
	// errBodyTooLong reports a body that exceeds the table's limit.
	errBodyTooLong = errors.New("request body is too long")
	// errBodyMemory reports a body for which there is no memory, or which was given up for
	// another one as it had stalled.
	errBodyMemory = errors.New("no memory for the request body")
)

// hasBody reports whether a request of a caller has a body.
func hasBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

// newRequestBody buffers a body of up to limit bytes and streams a longer one. A body
// longer than maxLength, unless that is 0, returns errBodyTooLong. The memory is that of a.
func newRequestBody(r *http.Request, limit, maxLength int64, a *arrival) (*requestBody, error) {
	if !hasBody(r) {
		return &requestBody{}, nil
	}
	b := &requestBody{length: r.ContentLength}
	if maxLength > 0 && r.ContentLength > maxLength {
		return nil, errBodyTooLong
	}
	if r.ContentLength > limit {
		b.stream = r.Body
		return b, nil
	}
	head, err := a.read(r.Body, limit, r.ContentLength)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "request body")
	case r.ContentLength >= 0 && int64(len(head)) != r.ContentLength:
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "request body")
	case int64(len(head)) > limit:
		a.keep()
		b.stream = io.MultiReader(bytes.NewReader(head), r.Body)
		return b, nil
	}
	b.buffered, b.length = head, int64(len(head))
	return b, nil
}

// Sizes of the buffer of an arriving body, in bytes.
const (
	firstBodyBuffer  = 4 << 10
	bodyBufferGrowth = 4 // ratio of two sizes
)

// read reads a body of the given length, negative if unknown, to its end, or limit+1
// bytes of a longer one. It reserves the memory as the bytes arrive.
func (b *arrival) read(body io.Reader, limit, length int64) ([]byte, error) {
	most := limit + 1
	if length >= 0 {
		most = length + 1 // one more, so that the end is read
	}
	buf := make([]byte, 0, min(firstBodyBuffer, most))
	for {
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return nil, err
		case int64(len(buf)) == most:
			return buf, nil
		case n > 0:
			b.progress(clock.Now())
		}
		if len(buf) < cap(buf) {
			continue
		}
		size := min(int64(cap(buf))*bodyBufferGrowth, most)
		if !b.grow(clock.Now(), size) {
			return nil, errBodyMemory
		}
		buf = append(make([]byte, 0, size), buf...)
	}
}

// bodyProblem converts an error of newRequestBody into a problem.
func bodyProblem(err error) *Problem {
	var ne net.Error
	switch {
	case errors.Is(err, errBodyTooLong):
		return notRun(http.StatusRequestEntityTooLarge, retry.Refused, reasonBadRequest, 0)
	case errors.Is(err, errBodyMemory):
		return notRun(http.StatusServiceUnavailable, retry.Limited, reasonBodiesFull, defaultRetryAfter)
	case errors.As(err, &ne) && ne.Timeout():
		return notRun(http.StatusRequestTimeout, retry.Refused, reasonDeadline, 0)
	}
	return notRun(http.StatusBadRequest, retry.Refused, reasonBadRequest, 0)
}

// bufferLimit returns the longest body that is buffered now, in bytes.
func (f *Frontend) bufferLimit() int64 {
	if f.cfg.BufferTotal > 0 && f.bufferedBodies.Load() >= f.cfg.BufferTotal {
		return min(f.cfg.BufferLimit, defaultBufferLimit)
	}
	return f.cfg.BufferLimit
}

// bufferedBytes returns the number of bytes buffered for further tries.
func (b *requestBody) bufferedBytes() int64 { return int64(len(b.buffered)) }

// endTry makes the reads of the try in progress fail. The goroutine that sends a body may
// first read it long after the try's response has arrived; without this, it takes bytes
// that the next try sends.
func (b *requestBody) endTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = nil
}

// beginRead reports whether r belongs to the try in progress, and marks the stream as
// consumed if it does.
func (b *requestBody) beginRead(r *awaitingBody) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != r {
		return false
	}
	b.consumed = true
	return true
}

// replayable reports whether the body can be sent again. That is final once the last try
// has ended.
func (b *requestBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stream == nil || !b.consumed
}

// streamed reports whether the body is withheld until admission.
func (b *requestBody) streamed() bool { return b.stream != nil }

// open returns the body for one try. A streamed body returns no bytes before admitted
// is closed, and none once the try has ended.
func (b *requestBody) open(ctx context.Context, admitted <-chan struct{}) io.ReadCloser {
	switch {
	case b.stream != nil:
		r := &awaitingBody{ctx: ctx, admitted: admitted, body: b}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.reader = r
		return r
	case len(b.buffered) > 0:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return nil
}

// awaitingBody waits for admission before it reads the caller's stream.
type awaitingBody struct {
	ctx      context.Context
	admitted <-chan struct{}
	body     *requestBody
}

func (a *awaitingBody) Read(p []byte) (int, error) {
	select {
	case <-a.admitted:
	default:
		select {
		case <-a.admitted:
		case <-a.ctx.Done():
			return 0, a.ctx.Err()
		}
	}
	if !a.body.beginRead(a) {
		if a.body.onLateRead != nil {
			a.body.onLateRead()
		}
		return 0, errTryEnded
	}
	if a.body.beforeRead != nil {
		a.body.beforeRead()
	}
	return a.body.stream.Read(p)
}

// Close leaves the caller's stream open for a further try; the HTTP server closes it at
// the end of the request.
func (a *awaitingBody) Close() error { return nil }

// trackedBody calls onEnd once, with whether the body was read to its end.
type trackedBody struct {
	io.ReadCloser
	expected       int64 // expected length; negative if unknown
	received       int64
	once           sync.Once
	onEnd          func(complete bool)
	ended          bool          // onEnd was called
	copied         *bytes.Buffer // copy of the body's first bytes; nil for no copy
	copyLimit      int           // maximum number of bytes copied
	copyOverflowed bool          // the body is longer than copyLimit
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	b.copyPart(p[:n])
	switch {
	case err == io.EOF && b.expected >= 0 && b.received < b.expected:
		err = io.ErrUnexpectedEOF
		b.finish(false)
	case err == io.EOF:
		b.finish(true)
	case err != nil:
		b.finish(false)
	}
	return n, err
}

func (b *trackedBody) copyPart(p []byte) {
	if b.copied == nil || b.copyOverflowed {
		return
	}
	if b.copied.Len()+len(p) > b.copyLimit {
		b.copyOverflowed = true
		return
	}
	b.copied.Write(p)
}

func (b *trackedBody) finish(complete bool) {
	b.once.Do(func() {
		b.ended = true
		b.onEnd(complete)
	})
}

// Close ends the body; a response that was not read to its end counts as truncated.
func (b *trackedBody) Close() error {
	b.finish(b.expected >= 0 && b.received == b.expected)
	return b.ReadCloser.Close()
}

// bufferResponse reads a response of up to limit bytes to its end and reports whether
// it is complete. It returns a nil body if the response is truncated. The body of a
// longer response is returned as a stream that starts with the bytes already read.
func bufferResponse(resp *http.Response, limit int64) (body io.ReadCloser, complete bool) {
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
		return &prefixedBody{Reader: io.MultiReader(&head, resp.Body), Closer: resp.Body}, false
	}
	_ = resp.Body.Close()
	resp.ContentLength = int64(head.Len())
	return io.NopCloser(&head), true
}

// prefixedBody is a response body whose first bytes have already been read.
type prefixedBody struct {
	io.Reader
	io.Closer
}
