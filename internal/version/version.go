// Package version defines the total order of table versions.
//
// Every node computes the same order from the published bytes alone, so that
// operators racing, stale replicas, crossed updates and a platform restored
// from a backup all lead to the same decision everywhere. The package has no
// I/O and no state.
package version

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// DigestSize is the length of a content digest in bytes: SHA-256, truncated.
const DigestSize = 16

// Digest identifies the content of a table.
type Digest [DigestSize]byte

// ID identifies one version of the table. Edition is written by the operator
// into the table and orders versions; Digest breaks the tie when two operators
// publish the same edition. The zero ID means "no table yet" and precedes all
// others.
type ID struct {
	Edition uint64 `cbor:"1,keyasint" json:"edition"`
	Digest  Digest `cbor:"2,keyasint" json:"-"`
}

// Of returns the ID of the table with the given edition and raw bytes.
func Of(edition uint64, raw []byte) ID {
	sum := sha256.Sum256(raw)
	id := ID{Edition: edition}
	copy(id.Digest[:], sum[:])
	return id
}

// Compare returns -1, 0 or +1 as a precedes, equals or follows b.
func Compare(a, b ID) int {
	if a.Edition != b.Edition {
		if a.Edition < b.Edition {
			return -1
		}
		return 1
	}
	return bytes.Compare(a.Digest[:], b.Digest[:])
}

// Newer reports whether a follows b.
func (a ID) Newer(b ID) bool { return Compare(a, b) > 0 }

// IsZero reports whether the ID stands for "no table yet".
func (a ID) IsZero() bool { return a == ID{} }

// String formats the ID as edition and the first digits of the digest.
func (a ID) String() string {
	if a.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d-%s", a.Edition, hex.EncodeToString(a.Digest[:4]))
}

// MarshalText encodes the ID for JSON and logs in the form of String.
func (a ID) MarshalText() ([]byte, error) { return []byte(a.String()), nil }
