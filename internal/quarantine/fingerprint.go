package quarantine

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Fingerprint is the same for all attempts of one request, whichever node they come to:
// it is made of what the caller asks for and not of an attempt's id or time. 0 stands
// for a request that has none.
type Fingerprint uint64

// RequestInfo is what a caller asks for, but for the body.
type RequestInfo struct {
	Method string
	Host   string
	Target string // path and query as the caller wrote them
	Tenant string
}

// Request is what makes two attempts the same request.
type Request struct {
	RequestInfo
	Body []byte
	// Length stands for a body that is not read before the request is passed on; 0 if
	// Body has it, negative if the length is not known.
	Length int64
}

// Fingerprint returns the fingerprint of the request.
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

// String returns the fingerprint as 16 hexadecimal digits, empty for none.
func (f Fingerprint) String() string {
	if f == 0 {
		return ""
	}
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(f)))
}

// ParseFingerprint reads what String wrote.
func ParseFingerprint(s string) (Fingerprint, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 16, 64)
	return Fingerprint(n), errors.Wrap(err, "fingerprint")
}
