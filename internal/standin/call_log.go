package standin

import (
	"fmt"
	"sync"
	"time"
)

// Call is one read call that a Platform has received.
type Call struct {
	Caller string    `json:"caller"` // the process, as its User-Agent names it
	Key    string    `json:"key"`
	Watch  bool      `json:"watch"`
	At     time.Time `json:"at"`
	// Took is the time until the response; 0 while the call waits.
	Took time.Duration `json:"took"`
}

// String describes the call in one line.
func (c Call) String() string {
	kind := "read"
	if c.Watch {
		kind = "watch"
	}
	took := "waits"
	if c.Took > 0 {
		took = c.Took.Round(time.Millisecond).String()
	}
	return fmt.Sprintf("%s %s %s %s %s", c.At.UTC().Format("15:04:05.000"), c.Caller, kind, c.Key, took)
}

// maxLoggedCalls bounds the calls that a callLog holds; the oldest are dropped.
const maxLoggedCalls = 4096

// callLog holds the latest calls, in the order in which they came.
type callLog struct {
	mu    sync.Mutex
	calls []*Call
}

// begin adds a call. ended must be called when its response is ready.
func (l *callLog) begin(c Call) (ended func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.calls) == maxLoggedCalls {
		l.calls = l.calls[1:]
	}
	l.calls = append(l.calls, &c)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		c.Took = max(time.Since(c.At), 1)
	}
}

// all returns copies of the calls.
func (l *callLog) all() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Call, len(l.calls))
	for i, c := range l.calls {
		out[i] = *c
	}
	return out
}
