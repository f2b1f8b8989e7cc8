package quarantine

import (
	"slices"
	"time"
)

// record returns the record of a request at a service, new if there is none.
func (b *Tracker) record(now time.Time, k key) *record {
	services, ok := b.records[k.request]
	if !ok {
		services = make(map[string]*record)
		b.records[k.request] = services
	}
	rec, ok := services[k.service]
	if !ok {
		rec = &record{}
		services[k.service] = rec
	}
	rec.seen = latest(rec.seen, now)
	return rec
}

func (b *Tracker) forget(k key) {
	delete(b.records[k.request], k.service)
	if len(b.records[k.request]) == 0 {
		delete(b.records, k.request)
	}
	delete(b.changed, k)
}

// count returns the number of records.
func (b *Tracker) count() int {
	n := 0
	for _, services := range b.records {
		n += len(services)
	}
	return n
}

// Sweep forgets what was not seen for long. Call it now and then.
func (b *Tracker) Sweep(now time.Time) {
	for r, services := range b.records {
		for service, rec := range services {
			if now.Sub(rec.seen) > b.memory(rec.falls) {
				b.forget(key{r, service})
			}
		}
	}
}

// memory is how long a request with such falls is remembered.
func (b *Tracker) memory(falls []uint64) time.Duration {
	if len(falls) == 0 {
		return b.cfg.ClearedMemory
	}
	return b.cfg.Memory
}

// makeRoom forgets what speaks least against a request, until the rest fits.
func (b *Tracker) makeRoom(now time.Time) {
	if b.count() <= b.cfg.MaxRecords {
		return
	}
	b.Sweep(now)
	type aged struct {
		key
		falls int
		seen  time.Time
	}
	var all []aged
	for r, services := range b.records {
		for service, rec := range services {
			all = append(all, aged{key{r, service}, len(rec.falls), rec.seen})
		}
	}
	slices.SortFunc(all, func(x, y aged) int {
		if x.falls != y.falls {
			return x.falls - y.falls
		}
		if c := x.seen.Compare(y.seen); c != 0 {
			return c
		}
		return compareKeys(x.key, y.key)
	})
	for _, a := range all[:max(len(all)-b.cfg.MaxRecords, 0)] {
		b.forget(a.key)
	}
}
