package peer

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/walldrift/walldrift/internal/distribution"
)

// Application error codes of control connections.
const (
	codeClosed quic.ApplicationErrorCode = iota
	codeBusy
)

// frameHeader is the length prefix of a message: four bytes, big endian.
const frameHeader = 4

// sendTimeout bounds the wait for a peer that does not read.
const sendTimeout = 5 * time.Second

// link is one control link: a QUIC connection with one stream of frames.
type link struct {
	conn    *quic.Conn
	stream  *quic.Stream
	peer    string
	dialled bool
}

func newLink(conn *quic.Conn, stream *quic.Stream, peer string, dialled bool) *link {
	return &link{conn: conn, stream: stream, peer: peer, dialled: dialled}
}

// Peer returns the instance name from the peer's certificate.
func (l *link) Peer() string { return l.peer }

// Dialled reports whether this side opened the link.
func (l *link) Dialled() bool { return l.dialled }

// Send writes one frame.
func (l *link) Send(msg []byte) error {
	buf := make([]byte, frameHeader, frameHeader+len(msg))
	binary.BigEndian.PutUint32(buf, uint32(len(msg)))
	buf = append(buf, msg...)
	if err := l.stream.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	_, err := l.stream.Write(buf)
	return err
}

// Receive reads one frame.
func (l *link) Receive() ([]byte, error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(l.stream, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > distribution.MaxMessage {
		return nil, errors.Newf("frame of %d bytes", n)
	}
	return readExactly(l.stream, int(n))
}

// readChunk is the largest buffer made before its bytes have arrived.
const readChunk = 64 << 10

// readExactly reads n bytes without trusting n for the allocation.
func readExactly(r io.Reader, n int) ([]byte, error) {
	buf := make([]byte, 0, min(n, readChunk))
	for len(buf) < n {
		at := len(buf)
		buf = append(buf, make([]byte, min(n-at, readChunk))...)
		if _, err := io.ReadFull(r, buf[at:]); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// WireBytes returns the UDP payload bytes sent and received on the link.
func (l *link) WireBytes() (sent, received uint64) {
	st := l.conn.ConnectionStats()
	return st.BytesSent, st.BytesReceived
}

// Close ends the link.
func (l *link) Close(reason string) { _ = l.conn.CloseWithError(codeClosed, reason) }
