package quarantine

import (
	"slices"
	"time"
)

const (
	// maxFalls bounds the falls remembered of one request at one service: more than it
	// takes to hold it back for good.
	maxFalls = 8
	// maxCleared bounds those that an answer has cleared. One that is forgotten counts
	// again where a node tells of it late.
	maxCleared = 64
)

// key names a record.
type key struct {
	request Fingerprint
	service string
}

// record is what is known of a request at one service.
type record struct {
	falls   []uint64 // at which it was running, with no answer since
	cleared []uint64 // that an answer has cleared
	good    bool     // an upstream of the service has answered it
	last    time.Time
	seen    time.Time
	since   time.Time // when it was first held back here
	refused int64
	about   RequestInfo
}

// add adds a fall that is not known yet. Of too many the least IDs are kept, so that all
// nodes keep the same.
func (r *record) add(id uint64) bool {
	at, known := slices.BinarySearch(r.falls, id)
	if known || at == maxFalls || slices.Contains(r.cleared, id) {
		return false
	}
	r.falls = slices.Insert(r.falls, at, id)
	r.falls = r.falls[:min(len(r.falls), maxFalls)]
	return true
}

// clear takes falls for no fault of the request.
func (r *record) clear(ids ...uint64) {
	for _, id := range ids {
		r.falls = slices.DeleteFunc(r.falls, func(fall uint64) bool { return fall == id })
		if !slices.Contains(r.cleared, id) {
			r.cleared = append(r.cleared, id)
		}
	}
	r.cleared = r.cleared[max(len(r.cleared)-maxCleared, 0):]
}
