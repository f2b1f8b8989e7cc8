package http1

import (
	"bufio"
	"container/list"
	"io"
	"sync"
)

// idleList holds the idle connections of a server, the one idle longest first.
type idleList struct {
	most  int
	mu    sync.Mutex
	order list.List
	at    map[*conn]*list.Element
}

// add appends a connection, and closes the one idle longest if there are too
// many. The lock of c is held; that of the closed one is taken later.
func (l *idleList) add(c *conn) {
	if l.most == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = make(map[*conn]*list.Element)
	}
	if _, ok := l.at[c]; ok {
		return
	}
	l.at[c] = l.order.PushBack(c)
	if l.order.Len() <= l.most {
		return
	}
	oldest := l.order.Remove(l.order.Front()).(*conn)
	delete(l.at, oldest)
	go oldest.wake()
}

func (l *idleList) remove(c *conn) {
	if l.most == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.at[c]; ok {
		l.order.Remove(e)
		delete(l.at, c)
	}
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

func getReader(r io.Reader) *bufio.Reader {
	br := readers.Get().(*bufio.Reader)
	br.Reset(r)
	return br
}

// putReader gives a reader back, but for one that grew.
func putReader(br *bufio.Reader) {
	if br.Size() == readBuffer {
		br.Reset(nil)
		readers.Put(br)
	}
}
