package sidecar

import "golang.org/x/sync/errgroup"

// askWidth is the number of sidecars asked at once.
const askWidth = 32

// askAll asks several sidecars, each with its place among them, and returns when all have
// been asked.
func askAll[T any](all []T, ask func(int, T)) {
	var group errgroup.Group
	group.SetLimit(askWidth)
	for i, one := range all {
		group.Go(func() error {
			ask(i, one)
			return nil
		})
	}
	_ = group.Wait() // asking reports no errors here
}
