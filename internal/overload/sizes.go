package overload

// ResponseSizes keeps the mean size of the responses of each kind. It is not safe for
// concurrent use.
type ResponseSizes struct{ means map[string]float64 }

// sizeSmoothing is the weight of the latest size.
const sizeSmoothing = 0.1

// NewResponseSizes returns response sizes without samples.
func NewResponseSizes() *ResponseSizes { return &ResponseSizes{means: make(map[string]float64)} }

// Observe adds the size of one response body, in bytes.
func (s *ResponseSizes) Observe(kind string, length int64) {
	mean, ok := s.means[kind]
	switch {
	case ok:
		s.means[kind] = mean + sizeSmoothing*(float64(length)-mean)
	case len(s.means) < maxKinds:
		s.means[kind] = float64(length)
	}
}

// Mean returns the mean response size of a kind, in bytes; 0 if unknown.
func (s *ResponseSizes) Mean(kind string) float64 { return s.means[kind] }
