package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// link stands before a sidecar's port for other sidecars. While it is cut, connections hang:
// nothing passes, and nothing is closed.
type link struct{ cut atomic.Bool }

func newLink(listen, to string) *link {
	k := &link{}
	l, err := net.Listen("tcp", listen)
	check(err)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(nc, to)
		}
	}()
	return k
}

func (k *link) serve(from net.Conn, to string) {
	k.await()
	back, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	go k.pipe(back, from)
	k.pipe(from, back)
}

func (k *link) await() {
	for k.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (k *link) pipe(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		k.await()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}
