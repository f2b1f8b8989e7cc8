//go:build !linux

package http1

import "time"

// peerUnresponsive can't be determined on other systems.
func peerUnresponsive(uintptr, time.Duration) (unresponsive, known bool) { return false, false }
