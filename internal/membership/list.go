// Package membership tracks the instances of the fleet. It merges the platform's
// instance list, which lags behind, with the rumors gossiped between nodes. From the
// result it computes the overlay links of a node and the readers of the platform.
//
// The package is purely computational: the caller passes the time in, and there are no
// goroutines, no I/O and no global state. What it computes stays on the node and is never
// written to state that nodes share.
package membership

import (
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/version"
)

// ListState is the state of an instance in the platform's list.
type ListState string

// The states that the platform's list uses.
const (
	ListedLive    ListState = "live"
	ListedLeaving ListState = "leaving"
)

// Instance is one upstream instance with its node. Generation is the start time of the
// node in milliseconds since the Unix epoch, so that a later process under the same name
// has a higher generation.
type Instance struct {
	Name       string         `json:"name" cbor:"1,keyasint"`
	Service    string         `json:"service" cbor:"2,keyasint"`
	DataCentre string         `json:"dc" cbor:"3,keyasint"`
	Region     string         `json:"region" cbor:"4,keyasint"`
	Peer       netip.AddrPort `json:"peer" cbor:"5,keyasint"` // UDP address of the node
	State      ListState      `json:"state" cbor:"6,keyasint"`
	Generation uint64         `json:"generation,omitempty" cbor:"7,keyasint,omitempty"`
}

// List is the platform's list of instances. Revision orders lists. The platform uses the
// publication time in milliseconds, so that a list published after a backup was restored
// does not reuse a revision.
type List struct {
	Revision  uint64     `json:"revision"`
	Instances []Instance `json:"instances"`
	// Defects are the instances that were left out, in the order of the list.
	Defects []Defect `json:"-"`
}

// Defect is an instance of a list that cannot be used.
type Defect struct {
	Index int // position in the list, from 0
	Err   error
}

// ErrList reports an invalid instance list.
var ErrList = errors.New("unusable instance list")

// errInstance reports an instance that cannot be used.
var errInstance = errors.New("unusable instance")

// ParseList decodes a list and leaves out the instances that cannot be used: other
// programs add to the list as well, and a list that is rejected as a whole would hide the
// changes of all other instances. Of two instances of one name the first counts. The
// result depends on raw only. All errors wrap ErrList.
func ParseList(raw []byte) (*List, version.ID, error) {
	var doc struct {
		Revision  uint64            `json:"revision"`
		Instances []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(pruneNested(raw, maxListDepth), &doc); err != nil {
		return nil, version.ID{}, errors.CombineErrors(ErrList, err)
	}
	if doc.Revision == 0 {
		return nil, version.ID{}, errors.Wrap(ErrList, "no revision")
	}
	l := &List{Revision: doc.Revision, Instances: make([]Instance, 0, len(doc.Instances))}
	seen := make(map[string]bool, len(doc.Instances))
	for i, rawInstance := range doc.Instances {
		in, err := parseInstance(rawInstance)
		if err == nil && seen[in.Name] {
			err = errors.Wrapf(errInstance, "%q stands twice", in.Name)
		}
		if err != nil {
			l.Defects = append(l.Defects, Defect{Index: i, Err: err})
			continue
		}
		seen[in.Name] = true
		l.Instances = append(l.Instances, in)
	}
	return l, version.Of(l.Revision, raw), nil
}

// parseInstance decodes and validates one instance.
func parseInstance(raw json.RawMessage) (Instance, error) {
	var in Instance
	if err := json.Unmarshal(raw, &in); err != nil {
		return in, errors.CombineErrors(errInstance, err)
	}
	switch {
	case in.Name == "" || in.DataCentre == "":
		return in, errors.Wrapf(errInstance, "%q in data centre %q", in.Name, in.DataCentre)
	case !in.Peer.IsValid() || in.Peer.Port() == 0:
		return in, errors.Wrapf(errInstance, "%q has no address", in.Name)
	case in.State != ListedLive && in.State != ListedLeaving:
		return in, errors.Wrapf(errInstance, "%q has state %q", in.Name, in.State)
	}
	return in, nil
}

// maxListDepth is the number of levels that a list has: the document, the array and the
// instances, whose fields are no objects.
const maxListDepth = 3

// pruneNested returns a JSON document in which each object and array below the given
// number of levels is replaced by null. The decoder rejects a document as a whole if any
// part of it is nested too deeply.
func pruneNested(raw []byte, levels int) []byte {
	out := make([]byte, 0, len(raw))
	depth, inString, escaped := 0, false, false
	for _, c := range raw {
		opens := !inString && (c == '{' || c == '[')
		closes := !inString && (c == '}' || c == ']')
		switch {
		case opens && depth == levels:
			out = append(out, "null"...)
		case depth > levels: // within a pruned value
		default:
			out = append(out, c)
		}
		switch {
		case opens:
			depth++
		case closes:
			depth--
		case inString:
			inString = c != '"' || escaped
			escaped = c == '\\' && !escaped
		default:
			inString = c == '"'
		}
	}
	return out
}
