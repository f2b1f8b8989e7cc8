package quarantine

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// fullTracker returns a tracker with MaxRecords records of one crash each.
func fullTracker() *Tracker {
	b := NewTracker(DefaultConfig())
	for i := range b.cfg.MaxRecords {
		b.UpstreamCrashed(start, uint64(i)<<32|1, shop, []Fingerprint{Fingerprint(hash64(uint64(i)))})
	}
	return b
}

// BenchmarkRequest measures the cost per request: its fingerprint, two checks and its
// answer.
func BenchmarkRequest(b *testing.B) {
	tracker := fullTracker()
	r := Request{RequestInfo: RequestInfo{Method: "GET", Host: "shop.example", Target: "/read/some/path?page=3&sort=new"}}
	b.ReportAllocs()
	for b.Loop() {
		f := r.Fingerprint()
		tracker.Check(start, f, shop)
		tracker.Start(start, f, shop)
		tracker.Answered(start, f, shop)
	}
}

// BenchmarkFingerprintOfABody computes the fingerprint of a request with a body of 60 KB.
func BenchmarkFingerprintOfABody(b *testing.B) {
	r := Request{RequestInfo: RequestInfo{Method: "POST", Host: "shop.example", Target: "/write"}, Body: make([]byte, 60<<10)}
	b.SetBytes(int64(len(r.Body)))
	for b.Loop() {
		r.Fingerprint()
	}
}

// BenchmarkTrackerHeap measures the memory of a full tracker.
func BenchmarkTrackerHeap(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		fullTracker()
	}
}

// The records of a crash with 22 requests must fit in one packet: they go to all siblings
// at once, over links of a few Mbit/s.
func TestCrashRecordsFitInOnePacket(t *testing.T) {
	b := NewTracker(DefaultConfig())
	var requests []Fingerprint
	for i := range 22 {
		requests = append(requests, Fingerprint(hash64(uint64(i))))
	}
	b.UpstreamCrashed(start, hash64(99), "statements", requests)
	raw, err := cbor.Marshal(b.Changes(start.Add(20 * time.Millisecond)))
	assert.NilError(t, err)
	t.Logf("%d bytes", len(raw))
	assert.Assert(t, len(raw) < 1400, "%d bytes: more than one packet", len(raw))
}
