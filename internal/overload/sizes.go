package overload

import "math"

// ResponseSizes keeps the mean size of the responses of each kind and how much they
// differ. It is not safe for concurrent use.
type ResponseSizes struct{ kinds map[string]responseSize }

// responseSize holds smoothed statistics of the response sizes of one kind, in bytes.
type responseSize struct {
	mean float64
	// deviation is the mean absolute deviation from the mean.
	deviation float64
}

const (
	// sizeSmoothing is the weight of the latest size.
	sizeSmoothing = 0.1
	// longDeviations is the number of mean absolute deviations by which ResponseSizes.Long
	// exceeds the mean. About nine in ten responses are shorter than that.
	longDeviations = 1.6
)

// NewResponseSizes returns response sizes without samples.
func NewResponseSizes() *ResponseSizes {
	return &ResponseSizes{kinds: make(map[string]responseSize)}
}

// Observe adds the size of one response body, in bytes.
func (s *ResponseSizes) Observe(kind string, length int64) {
	size, known := s.kinds[kind]
	switch {
	case known:
		off := float64(length) - size.mean
		size.mean += sizeSmoothing * off
		size.deviation += sizeSmoothing * (math.Abs(off) - size.deviation)
	case len(s.kinds) < maxKinds:
		size.mean = float64(length)
	default:
		return
	}
	s.kinds[kind] = size
}

// Mean returns the mean response size of a kind, in bytes; 0 if unknown.
func (s *ResponseSizes) Mean(kind string) float64 { return s.kinds[kind].mean }

// Long returns the size that about nine in ten responses of a kind do not exceed, in
// bytes; 0 if unknown.
func (s *ResponseSizes) Long(kind string) float64 {
	size := s.kinds[kind]
	return size.mean + longDeviations*size.deviation
}
