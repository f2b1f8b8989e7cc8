//go:build !linux

package http1

import "time"

// peerSilent is not known on other systems.
func peerSilent(uintptr, time.Duration) (silent, known bool) { return false, false }
