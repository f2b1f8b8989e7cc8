package proxy

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/clock"
)

// suspensionTime is how long the test's machine is suspended.
const suspensionTime = 3 * time.Second

// gatedUpstream answers when the test releases a request, and keeps the deadlines it
// was given.
type gatedUpstream struct {
	release   chan struct{}
	deadlines []int
}

func (u *gatedUpstream) RoundTrip(r *http.Request) (*http.Response, error) {
	ms, _ := strconv.Atoi(r.Header.Get(DefaultDialect().Deadline))
	u.deadlines = append(u.deadlines, ms)
	<-u.release
	return respondOK(r)
}

// forwardWithTimeout sends a request with a timeout to the backend, and sends its
// status to a channel.
func forwardWithTimeout(t *testing.T, b *Backend, timeout time.Duration, status chan<- int) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/x", nil)
	assert.Check(t, err)
	Envelope{Kind: "k", KindWeight: 1, Timeout: timeout}.write(r.Header)
	resp, err := b.RoundTrip(r)
	assert.Check(t, err)
	_ = resp.Body.Close()
	status <- resp.StatusCode
}

// Guards against deadlines measured by the steady clock, which stands still while the
// machine is suspended. After 3 s of suspension a request that waited for its slot still
// had 7.9 of its 8 s by that clock, and its upstream was given as much although its
// caller gave up after 4.9 s. A request with a timeout of 2 s was run 1 s after its
// caller had given up.
func TestDeadlinesIncludeSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &gatedUpstream{release: make(chan struct{})}
		b := receivingBackend(up)
		first, second, third := make(chan int, 1), make(chan int, 1), make(chan int, 1)
		go forwardWithTimeout(t, b, 10*time.Second, first)
		synctest.Wait()
		go forwardWithTimeout(t, b, 8*time.Second, second)
		synctest.Wait()
		go forwardWithTimeout(t, b, 2*time.Second, third)
		time.Sleep(100 * time.Millisecond)
		clock.SimulateSuspension(suspensionTime)
		defer clock.SimulateSuspension(-suspensionTime)
		up.release <- struct{}{}
		assert.Equal(t, <-first, http.StatusOK)
		up.release <- struct{}{}
		assert.Equal(t, <-second, http.StatusOK)
		synctest.Wait()
		select {
		case up.release <- struct{}{}:
			t.Error("a request was run 1 s after its caller had given up")
		default:
		}
		assert.Equal(t, <-third, http.StatusServiceUnavailable)
		assert.DeepEqual(t, up.deadlines, []int{10000, 4900})
	})
}
