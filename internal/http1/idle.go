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
	most  int
	mu    sync.Mutex
	order list.List
	at    map[*conn]*list.Element
}

// idleConn is a connection with the time from which it has been idle.
type idleConn struct {
	c    *conn
	from time.Time
}

// add takes in a connection that has been idle from a time on, and closes the one
// idle longest if there are too many. Times decide and not the order of calls: a
// caller may use its next connection before the goroutine that answered on the last
// one comes here. The lock of c is held; that of the closed one is taken later.
func (l *idleList) add(c *conn, from time.Time) {
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
	l.at[c] = l.insert(idleConn{c, from})
	if l.order.Len() <= l.most {
		return
	}
	oldest := l.order.Remove(l.order.Front()).(idleConn).c
	delete(l.at, oldest)
	go oldest.wake()
}

// insert puts a connection behind those idle for longer, nearly always the last.
func (l *idleList) insert(i idleConn) *list.Element {
	e := l.order.Back()
	for e != nil && e.Value.(idleConn).from.After(i.from) {
		e = e.Prev()
	}
	if e == nil {
		return l.order.PushFront(i)
	}
	return l.order.InsertAfter(i, e)
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
