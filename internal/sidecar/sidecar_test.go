package sidecar

import (
	"context"
	"os"
	"path/filepath"
	"syscall"

	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/settings"
)

func TestRequestReachesAnUpstreamUnchanged(t *testing.T) {
	f := startFleet(t, 3, 0)
	req := f.request(0, "POST", "/write/a%2Fb//c/../d?x=%20&y", strings.Repeat("z", 200_000))
	req.Header.Set(testDialect.CallerService, "forged")
	req.Header.Set(testDialect.ExpectedInstance, "forged")
	status, header, body := f.send(req)
	assert.Equal(t, status, http.StatusOK, body)
	assert.Equal(t, header.Get("Seen-Target"), "/write/a%2Fb//c/../d?x=%20&y")
	assert.Equal(t, header.Get("Seen-Caller"), "shop")
	assert.Assert(t, strings.HasSuffix(body, "got 200000 bytes"))
	assert.Assert(t, header.Get(testDialect.Signature) != "")
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	f := startFleet(t, 1, 0)
	status, _, _ := f.send(f.request(0, "GET", "/nothing/", ""))
	assert.Equal(t, status, http.StatusNotFound)
}

func BenchmarkRequests(b *testing.B) {
	f := startFleet(b, 3, 0)
	client := http1.NewClient(http1.DefaultClientConfig())
	b.ReportAllocs()
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			for i := w; i < b.N; i += 8 {
				req := f.request(w%3, "GET", "/read/x", "")
				req.Body = nil
				resp, err := client.RoundTrip(req)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	group.Wait()
}

// A changed settings file is applied with or without SIGHUP. An invalid one leaves the
// settings in force.
func TestSettingsAreReloaded(t *testing.T) {
	f := startFleet(t, 1, 0)
	s := f.sidecars[0]
	file := filepath.Join(t.TempDir(), "s.ini")
	assert.NilError(t, os.WriteFile(file, []byte("1"), 0o600))
	loaded := make(chan string, 8)
	names := []string{"second", "", "third"}
	load := func() (*settings.Sidecar, error) {
		name := names[0]
		names = names[1:]
		defer func() { loaded <- name }()
		if name == "" {
			return nil, errors.New("bad")
		}
		next := *s.cfg
		next.Service = name
		return &next, nil
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	seen := NewSettingsFile(file)
	go func() { s.WatchSettings(ctx, seen, load); close(done) }()
	caller := func() string {
		_, h, _ := f.send(f.request(0, "GET", "/read/x", ""))
		return h.Get("Seen-Caller")
	}
	assert.Equal(t, caller(), "shop")
	replaceFile(t, file, "22")
	assert.Equal(t, <-loaded, "second")
	for range 2 {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		<-loaded
	}
	stop()
	<-done
	assert.Equal(t, caller(), "third")
}

// replaceFile replaces a file atomically.
func replaceFile(t *testing.T, file, text string) {
	assert.NilError(t, os.WriteFile(file+".new", []byte(text), 0o600))
	assert.NilError(t, os.Rename(file+".new", file))
}

// A sidecar kept the settings that it had read if the file changed before WatchSettings
// began to watch it: it took the state of the changed file for that of the file it had
// read, until the next signal.
func TestSettingsChangedBeforeWatchAreReloaded(t *testing.T) {
	f := startFleet(t, 1, 0)
	s := f.sidecars[0]
	file := filepath.Join(t.TempDir(), "s.ini")
	assert.NilError(t, os.WriteFile(file, []byte("1"), 0o600))
	seen := NewSettingsFile(file)
	replaceFile(t, file, "22")
	loaded := make(chan struct{}, 8)
	load := func() (*settings.Sidecar, error) { loaded <- struct{}{}; return s.cfg, nil }
	go s.WatchSettings(t.Context(), seen, load)
	<-loaded
}
