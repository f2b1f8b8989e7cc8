// Package finding provides an error that reports several defects together.
package finding

import (
	"fmt"
	"strings"
)

// List is a list of defects, each of which says in its text where it was found. Use it as
// an error only if it is not empty.
type List[T fmt.Stringer] []T

// Error returns all findings, one per line.
func (l List[T]) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
