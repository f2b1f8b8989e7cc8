package table

import (
	"slices"

	"github.com/walldrift/walldrift/internal/version"
)

// Step is one advance from a version of a table to the next.
type Step struct {
	From, To version.ID
	Splices  []Splice
}

// spliceOverhead approximates the encoded size of a splice without its bytes.
const spliceOverhead = 12

// SpliceBytes approximates the encoded size of splices.
func SpliceBytes(splices []Splice) int {
	size := 0
	for _, s := range splices {
		size += len(s.Insert) + spliceOverhead
	}
	return size
}

// Steps are the last advances of a table, each from where the one before led, kept for
// nodes that are behind. The oldest are forgotten beyond the bounds.
type Steps struct {
	MaxSteps int
	MaxBytes int // of the splices of all steps
	kept     []Step
}

// Add keeps an advance.
func (s *Steps) Add(step Step) {
	s.kept = append(s.kept, step)
	total := s.Bytes()
	for len(s.kept) > 0 && (len(s.kept) > s.MaxSteps || total > s.MaxBytes) {
		total -= SpliceBytes(s.kept[0].Splices)
		s.kept = slices.Delete(s.kept, 0, 1)
	}
}

// Since returns the steps that lead from a version to the last one; nil if they are not
// kept.
func (s *Steps) Since(base version.ID) []Step {
	at := slices.IndexFunc(s.kept, func(one Step) bool { return one.From == base })
	if at < 0 {
		return nil
	}
	return s.kept[at:]
}

// Bytes approximates the encoded size of all that is kept.
func (s *Steps) Bytes() int {
	total := 0
	for _, one := range s.kept {
		total += SpliceBytes(one.Splices)
	}
	return total
}

// Len returns the number of steps kept.
func (s *Steps) Len() int { return len(s.kept) }

// Forget drops all steps.
func (s *Steps) Forget() { s.kept = nil }
