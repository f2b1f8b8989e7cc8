package table

import (
	"slices"

	"github.com/walldrift/walldrift/internal/version"
)

// Step holds the splices that turn one version of a table into a later one.
type Step struct {
	From, To version.ID
	Splices  []Splice
}

// spliceOverhead approximates the encoded size of a splice in bytes, without Insert.
const spliceOverhead = 12

// EncodedSpliceSize approximates the encoded size of splices in bytes.
func EncodedSpliceSize(splices []Splice) int {
	size := 0
	for _, s := range splices {
		size += len(s.Insert) + spliceOverhead
	}
	return size
}

// RecentSteps holds the most recent steps of a table, so that a node with an older
// version can be sent splices instead of the complete table. Each step begins at the
// version at which the previous one ended. When a limit is exceeded, the oldest steps are
// removed.
type RecentSteps struct {
	MaxSteps int
	MaxBytes int // limit of Bytes
	steps    []Step
}

// Add appends a step and removes the oldest ones beyond MaxSteps and MaxBytes.
func (s *RecentSteps) Add(step Step) {
	s.steps = append(s.steps, step)
	total := s.Bytes()
	for len(s.steps) > 0 && (len(s.steps) > s.MaxSteps || total > s.MaxBytes) {
		total -= EncodedSpliceSize(s.steps[0].Splices)
		s.steps = slices.Delete(s.steps, 0, 1)
	}
}

// Since returns the steps that lead from base to the latest version; nil if no step
// begins at base.
func (s *RecentSteps) Since(base version.ID) []Step {
	first := slices.IndexFunc(s.steps, func(step Step) bool { return step.From == base })
	if first < 0 {
		return nil
	}
	return s.steps[first:]
}

// Bytes approximates the encoded size of all splices held, in bytes.
func (s *RecentSteps) Bytes() int {
	total := 0
	for _, step := range s.steps {
		total += EncodedSpliceSize(step.Splices)
	}
	return total
}

// Len returns the number of steps held.
func (s *RecentSteps) Len() int { return len(s.steps) }

// Clear removes all steps.
func (s *RecentSteps) Clear() { s.steps = nil }
