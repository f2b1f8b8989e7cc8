//go:build !linux

package http1

// fionread asks for the number of unread bytes of a socket, by its value on the BSDs
// and macOS.
const fionread = 0x4004667f
