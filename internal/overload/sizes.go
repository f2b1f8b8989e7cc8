package overload

// ResponseSizes remembers the mean length of the answers of each kind. It is not safe
// for concurrent use.
type ResponseSizes struct{ means map[string]float64 }

// sizeSmoothing is the weight of the newest length.
const sizeSmoothing = 0.1

// NewResponseSizes returns an empty memory.
func NewResponseSizes() *ResponseSizes { return &ResponseSizes{means: make(map[string]float64)} }

// Observe takes in the length of one answer, in bytes.
func (s *ResponseSizes) Observe(kind string, length int64) {
	mean, ok := s.means[kind]
	switch {
	case ok:
		s.means[kind] = mean + sizeSmoothing*(float64(length)-mean)
	case len(s.means) < maxKinds:
		s.means[kind] = float64(length)
	}
}

// Mean is the mean length of the answers of a kind, in bytes; 0 if none is known.
func (s *ResponseSizes) Mean(kind string) float64 { return s.means[kind] }
