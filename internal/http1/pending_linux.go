package http1

import "golang.org/x/sys/unix"

// fionread asks for the number of unread bytes of a socket.
const fionread = unix.TIOCINQ
