package sidecar

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// roundTripFunc is a function that implements http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// Each header name is logged once, and a bounded number of names is remembered.
func TestResponseHeadersAreLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	header := http.Header{}
	l := newHeaderLogger(roundTripFunc(func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Header: header.Clone()}, nil
	}), log.New(&out))
	send := func() {
		_, err := l.RoundTrip(nil)
		assert.NilError(t, err)
	}
	header.Set("Load", "1")
	send()
	send()
	assert.Equal(t, strings.Count(out.String(), "Load"), 1)
	header.Set("In-Need", "1")
	send()
	assert.Equal(t, strings.Count(out.String(), "In-Need"), 1)
	for i := range 2 * maxLoggedHeaders {
		header.Set(fmt.Sprint("Made-Up-", i), "1")
		send()
	}
	assert.Equal(t, len(l.seen), maxLoggedHeaders)
}
