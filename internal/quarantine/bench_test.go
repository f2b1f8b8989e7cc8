package quarantine

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// fullBook remembers as many requests as a book does, each at one fall.
func fullBook() *Tracker {
	b := NewTracker(DefaultConfig())
	for i := range b.cfg.MaxRecords {
		b.UpstreamCrashed(start, uint64(i)<<32|1, shop, []Fingerprint{Fingerprint(mix(uint64(i)))})
	}
	return b
}

// BenchmarkRequest is what each request costs: its fingerprint, two looks and its answer.
func BenchmarkRequest(b *testing.B) {
	book := fullBook()
	r := Request{RequestInfo: RequestInfo{Method: "GET", Host: "shop.example", Target: "/read/some/path?page=3&sort=new"}}
	b.ReportAllocs()
	for b.Loop() {
		f := r.Fingerprint()
		book.Check(start, f, shop)
		book.Start(start, f, shop)
		book.Answered(start, f, shop)
	}
}

// BenchmarkFingerprintOfABody is one of 60 KB.
func BenchmarkFingerprintOfABody(b *testing.B) {
	r := Request{RequestInfo: RequestInfo{Method: "POST", Host: "shop.example", Target: "/write"}, Body: make([]byte, 60<<10)}
	b.SetBytes(int64(len(r.Body)))
	for b.Loop() {
		r.Fingerprint()
	}
}

// BenchmarkBookHeap is the memory of a full book.
func BenchmarkBookHeap(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		fullBook()
	}
}

// A fall is told in little: that of an upstream with 22 requests goes to all siblings at
// once, on links of a few Mbit/s.
func TestFallIsToldInLittle(t *testing.T) {
	b := NewTracker(DefaultConfig())
	var requests []Fingerprint
	for i := range 22 {
		requests = append(requests, Fingerprint(mix(uint64(i))))
	}
	b.UpstreamCrashed(start, mix(99), "statements", requests)
	raw, err := cbor.Marshal(b.Changes(start.Add(20 * time.Millisecond)))
	assert.NilError(t, err)
	t.Logf("%d bytes", len(raw))
	assert.Assert(t, len(raw) < 1400, "%d bytes: more than one packet", len(raw))
}
