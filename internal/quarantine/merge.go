package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is what one node tells another of a request at a service.
type Record struct {
	_ struct{} `cbor:",toarray"`

	Request Fingerprint
	Service string
	Falls   []uint64 // at which it was running, with no answer since
	Cleared []uint64 // that an answer has cleared
	Good    bool     // an upstream of the service has answered it
	// LastMs and SeenMs are the times since its last fall or probe and its last attempt,
	// in milliseconds: clocks of nodes differ, the way is short.
	LastMs, SeenMs int64
}

// Records returns all that is remembered, in a fixed order.
func (b *Tracker) Records(now time.Time) []Record {
	var out []Record
	for r, services := range b.records {
		for service := range services {
			out = append(out, b.tell(now, key{r, service}))
		}
	}
	sortRecords(out)
	return out
}

// Changes returns the records that have changed here since they were last asked for.
func (b *Tracker) Changes(now time.Time) []Record {
	out := make([]Record, 0, len(b.changed))
	for k := range b.changed {
		out = append(out, b.tell(now, k))
	}
	clear(b.changed)
	sortRecords(out)
	return out
}

func (b *Tracker) tell(now time.Time, k key) Record {
	rec := b.records[k.request][k.service]
	return Record{
		Request: k.request,
		Service: k.service,
		Falls:   slices.Clone(rec.falls),
		Cleared: slices.Clone(rec.cleared),
		Good:    rec.good,
		LastMs:  now.Sub(rec.last).Milliseconds(),
		SeenMs:  now.Sub(rec.seen).Milliseconds(),
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

// Merge takes over what another node remembers.
func (b *Tracker) Merge(now time.Time, told []Record) {
	for _, t := range told {
		if t.Request != 0 && t.SeenMs >= 0 && t.LastMs >= 0 && t.SeenMs < b.memory(t.Falls).Milliseconds() {
			b.mergeOne(now, t)
		}
	}
	b.makeRoom(now)
}

func (b *Tracker) mergeOne(now time.Time, t Record) {
	seen := now.Add(-time.Duration(t.SeenMs) * time.Millisecond)
	k := key{t.Request, t.Service}
	rec := b.record(seen, k)
	rec.clear(t.Cleared...)
	fell := false
	for _, id := range t.Falls {
		fell = rec.add(id) || fell
	}
	if fell {
		b.clearIfAnswered(now, k)
	}
	rec.good = rec.good || t.Good
	if len(rec.falls) == 0 {
		rec.since = time.Time{}
	}
	rec.last = latest(rec.last, now.Add(-time.Duration(t.LastMs)*time.Millisecond))
}

// Digest is the same for two books that remember the same falls and answers.
func (b *Tracker) Digest() uint64 {
	var sum uint64
	for r, services := range b.records {
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
	for _, ids := range [][]uint64{r.falls, r.cleared} {
		ids = slices.Sorted(slices.Values(ids))
		text = append(text, byte(len(ids)))
		for _, id := range ids {
			text = binary.BigEndian.AppendUint64(text, id)
		}
	}
	if r.good {
		text = append(text, 1)
	}
	_, _ = sum.Write(text)
	return sum.Sum64()
}

// mix spreads the bits of a number.
func mix(n uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, n))
}
