package sidecar

import "golang.org/x/sync/errgroup"

// maxConcurrentCalls is the number of sidecars called at the same time.
const maxConcurrentCalls = 32

// forEachConcurrently calls a function for each element with its index, maxConcurrentCalls
// at a time, and returns when all calls have returned.
func forEachConcurrently[T any](all []T, call func(int, T)) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, element := range all {
		group.Go(func() error {
			call(i, element)
			return nil
		})
	}
	_ = group.Wait() // the functions above return no errors
}
