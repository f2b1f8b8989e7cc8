package peer

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/walldrift/walldrift/internal/distribution"
)

// QUIC application error codes that close control connections.
const (
	codeClosed quic.ApplicationErrorCode = iota
	codeRejected
)

// frameHeaderBytes is the size of a frame's length prefix, a big-endian uint32.
const frameHeaderBytes = 4

// sendTimeout bounds how long Send blocks while the peer doesn't read.
const sendTimeout = 5 * time.Second

// link is a control link: a QUIC connection with one stream of length-prefixed frames.
type link struct {
	conn    *quic.Conn
	stream  *quic.Stream
	peer    string
	dialled bool
}

func newLink(conn *quic.Conn, stream *quic.Stream, peer string, dialled bool) *link {
	return &link{conn: conn, stream: stream, peer: peer, dialled: dialled}
}

// Peer returns the peer's instance name, which its certificate proves.
func (l *link) Peer() string { return l.peer }

// Dialled reports whether this node opened the link.
func (l *link) Dialled() bool { return l.dialled }

// Send writes msg as one frame. It fails after sendTimeout.
func (l *link) Send(msg []byte) error {
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+len(msg))
	binary.BigEndian.PutUint32(buf, uint32(len(msg)))
	buf = append(buf, msg...)
	if err := l.stream.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	_, err := l.stream.Write(buf)
	return err
}

// Receive reads one frame. A frame longer than distribution.MaxMessage is an error.
func (l *link) Receive() ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(l.stream, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > distribution.MaxMessage {
		return nil, errors.Newf("frame of %d bytes exceeds the limit", size)
	}
	return readFrameBody(l.stream, int(size))
}

// readChunk is the most memory that is allocated ahead of the bytes that arrive.
const readChunk = 64 << 10

// readFrameBody reads n bytes in chunks, so that a peer that announces a large frame and
// sends little can't make this node allocate n bytes.
func readFrameBody(r io.Reader, n int) ([]byte, error) {
	buf := make([]byte, 0, min(n, readChunk))
	for len(buf) < n {
		offset := len(buf)
		buf = append(buf, make([]byte, min(n-offset, readChunk))...)
		if _, err := io.ReadFull(r, buf[offset:]); err != nil {
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

// Close closes the connection with the given reason.
func (l *link) Close(reason string) { _ = l.conn.CloseWithError(codeClosed, reason) }
