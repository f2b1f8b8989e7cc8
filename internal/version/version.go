// Package version defines the total order of table versions.
//
// Every node computes the order from the published bytes alone. All nodes therefore agree
// on the newest version even if operators publish at the same time, replicas are stale,
// updates arrive out of order or the platform is restored from a backup. The package has
// no I/O and no state.
package version

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// DigestSize is the length of a Digest in bytes.
const DigestSize = 16

// Digest is the truncated SHA-256 of a raw table.
type Digest [DigestSize]byte

// ID identifies one version of the table. Versions are ordered by Edition, which the
// operator writes into the table, and then by Digest, in case two operators publish
// different tables with the same edition. The zero ID means "no table yet" and precedes
// all others.
type ID struct {
	Edition uint64 `cbor:"1,keyasint" json:"edition"`
	Digest  Digest `cbor:"2,keyasint" json:"-"`
}

// Of returns the ID of a table from its edition and its raw bytes.
func Of(edition uint64, raw []byte) ID {
	sum := sha256.Sum256(raw)
	id := ID{Edition: edition}
	copy(id.Digest[:], sum[:])
	return id
}

// Compare returns -1 if a precedes b, 0 if they are equal and +1 if a follows b.
func Compare(a, b ID) int {
	if a.Edition != b.Edition {
		if a.Edition < b.Edition {
			return -1
		}
		return 1
	}
	return bytes.Compare(a.Digest[:], b.Digest[:])
}

// Newer reports whether a is a later version than b.
func (a ID) Newer(b ID) bool { return Compare(a, b) > 0 }

// IsZero reports whether a is the zero ID, "no table yet".
func (a ID) IsZero() bool { return a == ID{} }

// String formats the ID as the edition and the first eight hexadecimal digits of the
// digest, or as "none" if it is zero.
func (a ID) String() string {
	if a.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d-%s", a.Edition, hex.EncodeToString(a.Digest[:4]))
}

// MarshalText returns the form of String, for JSON and logs.
func (a ID) MarshalText() ([]byte, error) { return []byte(a.String()), nil }
