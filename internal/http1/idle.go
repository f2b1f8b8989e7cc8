package http1

import (
	"bufio"
	"container/list"
	"io"
	"sync"
	"time"
)

// idleList holds the idle connections of a server, the one idle longest first.
type idleList struct {
	maxConns int
	mu       sync.Mutex
	order    list.List
	elements map[*conn]*list.Element
}

// idleConn is a connection with the time since which it has been idle.
type idleConn struct {
	conn  *conn
	since time.Time
}

// add inserts a connection that has been idle since a given time, and closes the one idle
// longest if there are too many. The list is ordered by that time, not by the order of
// calls: a caller that has its response may use its next connection before the handler
// goroutine adds the first one here. The caller holds the lock of c; the lock of the
// closed connection is taken later.
func (l *idleList) add(c *conn, since time.Time) {
	if l.maxConns == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.elements == nil {
		l.elements = make(map[*conn]*list.Element)
	}
	if _, ok := l.elements[c]; ok {
		return
	}
	l.elements[c] = l.insert(idleConn{c, since})
	if l.order.Len() <= l.maxConns {
		return
	}
	oldest := l.order.Remove(l.order.Front()).(idleConn).conn
	delete(l.elements, oldest)
	go oldest.closeIdle()
}

// insert places a connection after all that have been idle longer, nearly always last.
func (l *idleList) insert(i idleConn) *list.Element {
	e := l.order.Back()
	for e != nil && e.Value.(idleConn).since.After(i.since) {
		e = e.Prev()
	}
	if e == nil {
		return l.order.PushFront(i)
	}
	return l.order.InsertAfter(i, e)
}

func (l *idleList) remove(c *conn) {
	if l.maxConns == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.elements[c]; ok {
		l.order.Remove(e)
		delete(l.elements, c)
	}
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

func getReader(r io.Reader) *bufio.Reader {
	br := readerPool.Get().(*bufio.Reader)
	br.Reset(r)
	return br
}

// putReader returns a reader to the pool, unless its buffer has grown.
func putReader(br *bufio.Reader) {
	if br.Size() == readBufferSize {
		br.Reset(nil)
		readerPool.Put(br)
	}
}
