package kit

import (
	"context"
	"io"
	"net"
	"regexp"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Link forwards the connections to an address.
type Link struct {
	target  string
	sources *sync.Map // address of a machine by its service
	epoch   atomic.Int64
	open    atomic.Int64
}

// bufferSize is the size of the receive buffers of a Link. It is small, as a silent
// connection takes no bytes from its senders.
const bufferSize = 4 << 10

func smallBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferSize)
	})
}

// newLink starts a link. sources gives the address of the machine of each service: a
// connection comes from the address of its machine, as on a network.
func newLink(listen, target string, sources *sync.Map) (*Link, error) {
	config := net.ListenConfig{Control: smallBuffer}
	l, err := config.Listen(context.Background(), "tcp", listen)
	if err != nil {
		return nil, err
	}
	k := &Link{target: target, sources: sources}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(c.(*net.TCPConn))
		}
	}()
	return k, nil
}

// Silence makes the connections that are open now silent for good, without a reset; new
// ones work. It returns their number.
func (k *Link) Silence() int {
	k.epoch.Add(1)
	return int(k.open.Load())
}

var callerService = regexp.MustCompile(`(?i)X-Walldrift-Caller-Service: (\S+)`)

func (k *Link) forward(a *net.TCPConn) {
	defer func() { _ = a.Close() }()
	epoch := k.epoch.Load()
	first := make([]byte, 16<<10)
	n, err := a.Read(first)
	if err != nil {
		return
	}
	dialer := net.Dialer{Timeout: time.Second, Control: smallBuffer}
	if found := callerService.FindSubmatch(first[:n]); found != nil {
		if ip, ok := k.sources.Load(string(found[1])); ok {
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(ip.(string))}
		}
	}
	c, err := dialer.Dial("tcp", k.target)
	if err != nil {
		_ = a.SetLinger(0)
		return
	}
	b := c.(*net.TCPConn)
	defer func() { _ = b.Close() }()
	if _, err := b.Write(first[:n]); err != nil {
		_ = a.SetLinger(0)
		return
	}
	k.open.Add(1)
	defer k.open.Add(-1)
	var both sync.WaitGroup
	both.Go(func() { k.relay(epoch, b, a) })
	both.Go(func() { k.relay(epoch, a, b) })
	both.Wait()
}

// relay copies until the end of the connection. On a silent one it passes on nothing,
// neither bytes nor an end, and reads nothing more.
func (k *Link) relay(epoch int64, to, from *net.TCPConn) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if k.epoch.Load() != epoch {
			select {} // silent for good
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// Target returns the address to which the link forwards.
func (k *Link) Target() string { return k.target }
