//go:build !linux

package http1

// fionread is the ioctl that returns the number of unread bytes of a socket, with its
// value on the BSDs and macOS.
const fionread = 0x4004667f
