package http1

import "golang.org/x/sys/unix"

// fionread is the ioctl that returns the number of unread bytes of a socket.
const fionread = unix.TIOCINQ
