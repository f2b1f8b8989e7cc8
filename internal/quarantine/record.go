package quarantine

import (
	"slices"
	"time"
)

const (
	// maxCrashes bounds the crashes kept of one request at one service. It exceeds the
	// number from which the request is quarantined without further probes.
	maxCrashes = 8
	// maxCleared bounds the cleared crashes that are kept. A crash that was dropped from
	// them counts again if a node reports it late.
	maxCleared = 64
)

// key identifies a record.
type key struct {
	request Fingerprint
	service string
}

// record is what is known of a request at one service.
type record struct {
	crashes       []uint64 // crashes at which it was running, without an answer since
	cleared       []uint64 // crashes cleared by an answer
	answered      bool     // an upstream of the service has answered it, or it was released
	lastRun       time.Time
	lastSeen      time.Time
	quarantinedAt time.Time // first refusal of its quarantine at this node
	refused       int64
	info          RequestInfo
}

// addCrash adds a crash and reports whether it was unknown. If there are too many, those
// with the lowest IDs are kept, so that all nodes keep the same ones.
func (r *record) addCrash(id uint64) bool {
	at, known := slices.BinarySearch(r.crashes, id)
	if known || at == maxCrashes || slices.Contains(r.cleared, id) {
		return false
	}
	r.crashes = slices.Insert(r.crashes, at, id)
	r.crashes = r.crashes[:min(len(r.crashes), maxCrashes)]
	return true
}

// clear marks crashes as not caused by the request.
func (r *record) clear(ids ...uint64) {
	for _, id := range ids {
		r.crashes = slices.DeleteFunc(r.crashes, func(crash uint64) bool { return crash == id })
		if !slices.Contains(r.cleared, id) {
			r.cleared = append(r.cleared, id)
		}
	}
	r.cleared = r.cleared[max(len(r.cleared)-maxCleared, 0):]
}
