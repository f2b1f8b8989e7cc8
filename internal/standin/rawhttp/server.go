// Package rawhttp is a stand-in of a server of HTTP/1 that may send bytes that are no response.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Server answers each request with the same bytes.
type Server struct {
	listener net.Listener
	answer   string
	closes   bool
}

// NewServer starts a server on loopback. With closes, it ends each connection after the
// answer, otherwise it waits for the next request.
func NewServer(answer string, closes bool) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, answer: answer, closes: closes}
	go s.accept()
	return s, nil
}

// Addr returns the address of the form ip:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(nc)
	}
}

func (s *Server) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(nc, s.answer); err != nil || s.closes {
			return
		}
	}
}
