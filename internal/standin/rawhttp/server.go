// Package rawhttp is a stand-in of a server of HTTP/1 that may send bytes that are no response.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Answer is what is sent for a request.
type Answer struct {
	Bytes string
	End   End // of the connection, behind the bytes
}

// End is what becomes of a connection after an answer.
type End int

// Ends of connections.
const (
	KeepOpen End = iota // the next request is awaited
	Close
	Reset
)

// Start listens on loopback, answers each request by the same answer, and returns the address
// and the listener.
func Start(answer Answer) (addr string, l net.Listener, err error) {
	l, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go Accept(l, func(nc net.Conn) { Serve(nc, func(*http.Request) Answer { return answer }) })
	return l.Addr().String(), l, nil
}

// Accept serves each connection of a listener, and closes it after that, until the listener
// is closed.
func Accept(l net.Listener, serve func(net.Conn)) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = nc.Close() }()
			serve(nc)
		}()
	}
}

// Serve reads the requests of a connection and sends their answers.
func Serve(nc net.Conn, answer func(*http.Request) Answer) {
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		a := answer(req)
		if _, err := io.WriteString(nc, a.Bytes); err != nil || a.End == Close {
			return
		}
		if a.End == Reset {
			_ = nc.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}
