package discovery

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// Log lines show the staleness of the state that requests were routed by, the cost of
// calls of the store, and that the change bound was exceeded.
func TestLogLinesHaveStaleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		s := &fakeSource{state: Update{Revision: 1, Document: testDocument(1), Upstreams: []Upstream{publishedUpstream("a", 1)}}}
		cfg := DefaultConfig()
		f := NewFollower(cfg, s, nil, &snapshot.Holder{}, log.NewWithOptions(&logged, log.Options{Formatter: log.JSONFormatter}), func(*Directory) {})
		f.follow(t)
		time.Sleep(time.Second)
		s.set(func(s *fakeSource) { s.fail = errors.New("down") })
		time.Sleep(cfg.ChangeBound + 2*stalenessCheckInterval)
		assert.Assert(t, f.Staleness(time.Now()) > cfg.ChangeBound)
		leaving := publishedUpstream("a", 2)
		leaving.Leaving = true
		s.set(func(s *fakeSource) { s.fail, s.state = nil, Update{Revision: 2, Upstreams: []Upstream{leaving}} })
		time.Sleep(3 * time.Second)
		f.mu.Lock() // no line is logged while the lock is held
		defer f.mu.Unlock()
		text := logged.String()
		for _, want := range []string{
			`"msg":"store call slow","call":"watch","took":"0s"`, `"msg":"store lost","err":"down","news_age":"`,
			`"msg":"news older than the bound","news_age":"2.`, `"msg":"upstream changed","from":"store","news_age":"`, `"msg":"news within the bound again"`,
		} {
			assert.Assert(t, strings.Contains(text, want), "%q is missing in:\n%s", want, text)
		}
	})
}
