package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkScale measures one computation at several fleet sizes. docs/CAPACITY.md states
// the results.
func BenchmarkScale(b *testing.B) {
	for _, n := range []int{13, 190, 575, 1150, 2300} {
		members := fleet(n, min(n, 26), min(n, 7))
		list := &List{Revision: 1}
		for _, m := range members {
			list.Instances = append(list.Instances, m.Instance)
		}
		now := time.Unix(1000, 0)
		v := NewView(DefaultConfig(), members[0].Instance)
		v.SetList(list, now)
		b.Run(fmt.Sprintf("members/%d", n), func(b *testing.B) {
			for b.Loop() {
				v.Members(now)
			}
		})
		b.Run(fmt.Sprintf("overlay/%d", n), func(b *testing.B) {
			for b.Loop() {
				Overlay(members[0].Instance, members)
			}
		})
		b.Run(fmt.Sprintf("setlist/%d", n), func(b *testing.B) {
			for b.Loop() {
				v.SetList(list, now)
			}
		})
	}
}
