package quarantine

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Fingerprint identifies a request across its attempts and nodes: it is a hash of what
// the caller requests, without the ID and the time of the attempt. 0 means no
// fingerprint.
type Fingerprint uint64

// RequestInfo is what a caller requests, without the body.
type RequestInfo struct {
	Method string
	Host   string
	Target string // path and query as sent by the caller
	Tenant string
}

// Request holds the parts that make two attempts the same request.
type Request struct {
	RequestInfo
	Body []byte
	// Length stands in for a body that is not read before the request is forwarded; 0 if
	// Body holds it, negative if the length is unknown.
	Length int64
}

// Fingerprint returns the fingerprint of the request. It is never 0.
func (r Request) Fingerprint() Fingerprint {
	sum := xxhash.New()
	for _, part := range [...]string{r.Method, r.Host, r.Target, r.Tenant} {
		_, _ = sum.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = sum.WriteString(part)
	}
	_, _ = sum.Write(binary.AppendVarint(nil, r.Length))
	_, _ = sum.Write(r.Body)
	return Fingerprint(max(sum.Sum64(), 1))
}

// String returns the fingerprint as 16 hexadecimal digits, or an empty string for 0.
func (f Fingerprint) String() string {
	if f == 0 {
		return ""
	}
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(f)))
}

// ParseFingerprint parses the format of String.
func ParseFingerprint(s string) (Fingerprint, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 16, 64)
	return Fingerprint(n), errors.Wrap(err, "fingerprint")
}
