package quarantine

import (
	"slices"
	"time"
)

// record returns the record of a request at a service and creates it if there is none.
func (t *Tracker) record(now time.Time, k key) *record {
	services, ok := t.records[k.request]
	if !ok {
		services = make(map[string]*record)
		t.records[k.request] = services
	}
	rec, ok := services[k.service]
	if !ok {
		rec = &record{}
		services[k.service] = rec
	}
	rec.lastSeen = latest(rec.lastSeen, now)
	return rec
}

func (t *Tracker) remove(k key) {
	delete(t.records[k.request], k.service)
	if len(t.records[k.request]) == 0 {
		delete(t.records, k.request)
	}
	delete(t.changed, k)
}

// count returns the number of records.
func (t *Tracker) count() int {
	n := 0
	for _, services := range t.records {
		n += len(services)
	}
	return n
}

// Sweep removes records that haven't been seen for longer than their retention. It must
// be called periodically.
func (t *Tracker) Sweep(now time.Time) {
	for r, services := range t.records {
		for service, rec := range services {
			if now.Sub(rec.lastSeen) > t.retention(rec.crashes) {
				t.remove(key{r, service})
			}
		}
	}
}

// retention returns how long a record with the given crashes is kept.
func (t *Tracker) retention(crashes []uint64) time.Duration {
	if len(crashes) == 0 {
		return t.cfg.ClearedRetention
	}
	return t.cfg.Retention
}

// evict removes records until MaxRecords remain: expired ones, then those with the fewest
// crashes, and of these the ones not seen for longest.
func (t *Tracker) evict(now time.Time) {
	if t.count() <= t.cfg.MaxRecords {
		return
	}
	t.Sweep(now)
	type entry struct {
		key
		crashes  int
		lastSeen time.Time
	}
	var all []entry
	for r, services := range t.records {
		for service, rec := range services {
			all = append(all, entry{key{r, service}, len(rec.crashes), rec.lastSeen})
		}
	}
	slices.SortFunc(all, func(x, y entry) int {
		if x.crashes != y.crashes {
			return x.crashes - y.crashes
		}
		if c := x.lastSeen.Compare(y.lastSeen); c != 0 {
			return c
		}
		return compareKeys(x.key, y.key)
	})
	for _, a := range all[:max(len(all)-t.cfg.MaxRecords, 0)] {
		t.remove(a.key)
	}
}
