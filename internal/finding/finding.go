// Package finding holds a list of defects that are reported together.
package finding

import (
	"fmt"
	"strings"
)

// List collects defects, each with its place in its text. It is an error when
// not empty.
type List[T fmt.Stringer] []T

// Error lists all findings, one a line.
func (l List[T]) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
