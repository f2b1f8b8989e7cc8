package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is the record of a request at a service as sent to other nodes.
type Record struct {
	_ struct{} `cbor:",toarray"`

	Request Fingerprint
	Service string
	Falls   []uint64 // crashes at which it was running, without an answer since
	Cleared []uint64 // crashes cleared by an answer
	Good    bool     // an upstream of the service has answered it
	// LastMs and SeenMs are the times since its last crash or probe and since its last
	// attempt, in milliseconds. They are ages rather than times because the clocks of
	// nodes differ; the network time, by which the receiver takes them for too short, is
	// small.
	LastMs, SeenMs int64
}

// Records returns all records in a fixed order.
func (t *Tracker) Records(now time.Time) []Record {
	var out []Record
	for r, services := range t.records {
		for service := range services {
			out = append(out, t.export(now, key{r, service}))
		}
	}
	sortRecords(out)
	return out
}

// Changes returns the records that have changed here since the last call.
func (t *Tracker) Changes(now time.Time) []Record {
	out := make([]Record, 0, len(t.changed))
	for k := range t.changed {
		out = append(out, t.export(now, k))
	}
	clear(t.changed)
	sortRecords(out)
	return out
}

func (t *Tracker) export(now time.Time, k key) Record {
	rec := t.records[k.request][k.service]
	return Record{
		Request: k.request,
		Service: k.service,
		Falls:   slices.Clone(rec.crashes),
		Cleared: slices.Clone(rec.cleared),
		Good:    rec.answered,
		LastMs:  now.Sub(rec.lastRun).Milliseconds(),
		SeenMs:  now.Sub(rec.lastSeen).Milliseconds(),
	}
}

func sortRecords(all []Record) {
	slices.SortFunc(all, func(x, y Record) int {
		return compareKeys(key{x.Request, x.Service}, key{y.Request, y.Service})
	})
}

func compareKeys(x, y key) int {
	return cmp.Or(cmp.Compare(x.request, y.request), cmp.Compare(x.service, y.service))
}

// Merge merges records received from another node.
func (t *Tracker) Merge(now time.Time, received []Record) {
	for _, in := range received {
		if in.Request != 0 && in.SeenMs >= 0 && in.LastMs >= 0 && in.SeenMs < t.retention(in.Falls).Milliseconds() {
			t.mergeRecord(now, in)
		}
	}
	t.evict(now)
}

func (t *Tracker) mergeRecord(now time.Time, in Record) {
	seen := now.Add(-time.Duration(in.SeenMs) * time.Millisecond)
	k := key{in.Request, in.Service}
	rec := t.record(seen, k)
	rec.clear(in.Cleared...)
	added := false
	for _, id := range in.Falls {
		added = rec.addCrash(id) || added
	}
	if added {
		t.clearIfAnswered(now, k)
	}
	rec.answered = rec.answered || in.Good
	if len(rec.crashes) == 0 {
		rec.quarantinedAt = time.Time{}
	}
	rec.lastRun = latest(rec.lastRun, now.Add(-time.Duration(in.LastMs)*time.Millisecond))
}

// Digest returns a hash of the records' crashes and answers. It is the same for two
// trackers with the same ones.
func (t *Tracker) Digest() uint64 {
	var sum uint64
	for r, services := range t.records {
		for service, rec := range services {
			sum ^= rec.digest(key{r, service})
		}
	}
	return sum
}

func (r *record) digest(k key) uint64 {
	sum := xxhash.New()
	_, _ = sum.WriteString(k.service)
	text := binary.BigEndian.AppendUint64(nil, uint64(k.request))
	for _, ids := range [][]uint64{r.crashes, r.cleared} {
		ids = slices.Sorted(slices.Values(ids))
		text = append(text, byte(len(ids)))
		for _, id := range ids {
			text = binary.BigEndian.AppendUint64(text, id)
		}
	}
	if r.answered {
		text = append(text, 1)
	}
	_, _ = sum.Write(text)
	return sum.Sum64()
}

// hash64 returns the xxHash of n, so that numbers that are close together are spread
// evenly.
func hash64(n uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, n))
}
