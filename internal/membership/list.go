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
}

// ErrList reports an invalid instance list.
var ErrList = errors.New("unusable instance list")

// ParseList decodes and validates a list. The result depends on raw only. All errors
// wrap ErrList.
func ParseList(raw []byte) (*List, version.ID, error) {
	var l List
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, version.ID{}, errors.CombineErrors(ErrList, err)
	}
	if l.Revision == 0 {
		return nil, version.ID{}, errors.Wrap(ErrList, "no revision")
	}
	seen := make(map[string]bool, len(l.Instances))
	for _, in := range l.Instances {
		switch {
		case in.Name == "" || in.DataCentre == "":
			return nil, version.ID{}, errors.Wrapf(ErrList, "instance %q in data centre %q", in.Name, in.DataCentre)
		case !in.Peer.IsValid():
			return nil, version.ID{}, errors.Wrapf(ErrList, "instance %q has no address", in.Name)
		case in.State != ListedLive && in.State != ListedLeaving:
			return nil, version.ID{}, errors.Wrapf(ErrList, "instance %q has state %q", in.Name, in.State)
		case seen[in.Name]:
			return nil, version.ID{}, errors.Wrapf(ErrList, "instance %q stands twice", in.Name)
		}
		seen[in.Name] = true
	}
	return &l, version.Of(l.Revision, raw), nil
}
