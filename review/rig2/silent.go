package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["silent"] = silentConnections }

const (
	wideMbps    = 16.0 // of the link of the machine beside the target
	uploadBytes = 300_000
	docs        = 3  // machines beside the targets of the uploads
	clump       = 15 // uploads that come at once
	clumpEvery  = 900 * time.Millisecond
	quietFor    = 9300 * time.Millisecond // 0.3 s after the start of a clump
	checkFor    = 20 * time.Second
)

// silentConnections lets the open connections between the machines go silent for good, while
// uploads pass them. New connections work.
func silentConnections(f *fleet) bool {
	var links []*narrowLink
	f.mbps = wideMbps
	f.links = func(m *machine) string {
		node := fmt.Sprintf("127.%d.8.%d", f.net, f.hosts)
		k := newNarrowLink(fmt.Sprintf("%s:%d", m.ip, f.peerPort), fmt.Sprintf("%s:%d", node, f.peerPort))
		links = append(links, k)
		return node
	}
	for i, s := range []string{"docs-svc", "docs-svc", "docs-svc", "look-svc", "look-svc", "look-svc", "look-svc", "look-svc", "look-svc"} {
		f.addMachine(s, []string{"hall-a", "hall-b", "hall-c"}[i%3], 12)
	}
	c := newConfig(1, "docs-svc", "look-svc")
	c.add("/photos/", "upload", "docs-svc", 3000, 1000)
	f.store.put("op/config", c)
	f.startAll()
	time.Sleep(8 * time.Second)

	// The silence comes amid a clump of uploads.
	cl := newClient(f)
	silent := time.Now().Add(quietFor)
	back := silent.Add(touchMs * time.Millisecond)
	end := back.Add(recoverS*time.Second + checkFor)
	var silence sync.WaitGroup
	silence.Go(func() {
		time.Sleep(time.Until(silent))
		n := 0
		for _, k := range links {
			if f.trouble {
				n += k.silence()
			}
		}
		f.say("%d open connections between machines are silent from now on", n)
	})
	var group sync.WaitGroup
	var sentBefore, goodBefore, sentAfter, goodAfter atomic.Int64
	tick := time.NewTicker(clumpEvery)
	defer tick.Stop()
	for time.Now().Before(end) {
		<-tick.C
		for range clump {
			m := f.machines[docs+rand.IntN(len(f.machines)-docs)]
			group.Go(func() {
				r := cl.send(m, http.MethodPost, "/photos/w40", bytes.NewReader(make([]byte, uploadBytes)), 3*time.Second)
				sent, good := &sentBefore, &goodBefore
				switch {
				case r.sent.After(back.Add(recoverS * time.Second)):
					sent, good = &sentAfter, &goodAfter
				case r.sent.After(silent):
					return
				}
				sent.Add(1)
				if r.status == http.StatusOK && r.signed {
					good.Add(1)
				}
			})
		}
	}
	group.Wait()
	silence.Wait()
	f.say("before the silence: %d of %d uploads served", goodBefore.Load(), sentBefore.Load())
	f.say("later than %d s after the machines are in touch again: %d of %d uploads served", recoverS, goodAfter.Load(), sentAfter.Load())
	return goodBefore.Load()*4 >= sentBefore.Load() && goodAfter.Load()*4 < sentAfter.Load()
}

// narrowLink stands before a sidecar's port for other sidecars. All connections share the
// rate of the link.
type narrowLink struct {
	to string

	mu    sync.Mutex
	era   *atomic.Bool // set once the connections of this time are silent
	open  int
	ready time.Time // when the link has carried what was sent so far
}

func newNarrowLink(listen, to string) *narrowLink {
	k := &narrowLink{to: to, era: &atomic.Bool{}}
	l, err := net.Listen("tcp", listen)
	check(err)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(nc)
		}
	}()
	return k
}

// silence makes all open connections silent for good and returns their number.
func (k *narrowLink) silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := k.open
	k.era.Store(true)
	k.era, k.open = &atomic.Bool{}, 0
	return n
}

func (k *narrowLink) serve(from net.Conn) {
	back, err := net.DialTimeout("tcp", k.to, time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	_ = from.(*net.TCPConn).SetReadBuffer(32 << 10)
	_ = back.(*net.TCPConn).SetWriteBuffer(16 << 10)
	k.mu.Lock()
	era := k.era
	k.open++
	k.mu.Unlock()
	var ends sync.WaitGroup
	ends.Go(func() { k.pipe(era, from, back, true) })
	ends.Go(func() { k.pipe(era, back, from, false) })
	ends.Wait()
	_ = from.Close()
	_ = back.Close()
	k.mu.Lock()
	if k.era == era {
		k.open--
	}
	k.mu.Unlock()
}

// pipe passes bytes on. On a silent connection nothing passes, not even its end.
func (k *narrowLink) pipe(silent *atomic.Bool, from, to net.Conn, paced bool) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && paced {
			k.pace(n)
		}
		if silent.Load() {
			select {}
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil && err == nil {
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

// pace waits until the link has carried n more bytes.
func (k *narrowLink) pace(n int) {
	k.mu.Lock()
	now := time.Now()
	if k.ready.Before(now) {
		k.ready = now
	}
	k.ready = k.ready.Add(time.Duration(float64(n) * 8 / (wideMbps * 1e6) * float64(time.Second)))
	at := k.ready
	k.mu.Unlock()
	time.Sleep(time.Until(at))
}
