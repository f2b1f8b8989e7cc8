package sidecar

import (
	"net/http"
	"slices"
	"sync"

	"github.com/charmbracelet/log"
)

// maxLoggedHeaders bounds the header names that are remembered: an upstream that makes
// names up must not fill the memory or the log.
const maxLoggedHeaders = 64

// headerLogger is the transport to the own upstream. It logs the name of each header when
// it first comes in a response: upstreams tell their state in headers, and one that this
// process does not read would otherwise leave no trace.
type headerLogger struct {
	transport http.RoundTripper
	log       *log.Logger

	mu   sync.RWMutex
	seen map[string]bool // names of headers; guarded by mu
}

func newHeaderLogger(transport http.RoundTripper, logger *log.Logger) *headerLogger {
	return &headerLogger{transport: transport, log: logger, seen: make(map[string]bool)}
}

// RoundTrip implements http.RoundTripper.
func (l *headerLogger) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := l.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if fresh := l.unseen(resp.Header); len(fresh) > 0 {
		l.log.Info("own upstream's responses have further headers", "names", fresh, "status", resp.StatusCode)
	}
	return resp, nil
}

// unseen returns the names in h that have not come before, sorted, and remembers them.
func (l *headerLogger) unseen(h http.Header) []string {
	if l.knows(h) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var fresh []string
	for name := range h {
		if !l.seen[name] && len(l.seen) < maxLoggedHeaders {
			l.seen[name] = true
			fresh = append(fresh, name)
		}
	}
	slices.Sort(fresh)
	return fresh
}

// knows reports whether no name in h is worth remembering.
func (l *headerLogger) knows(h http.Header) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if len(l.seen) >= maxLoggedHeaders {
		return true
	}
	for name := range h {
		if !l.seen[name] {
			return false
		}
	}
	return true
}
