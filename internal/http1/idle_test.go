package http1

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller that has its answer may open its next connections before the goroutine
// that answered lists the first one as idle: on a busy machine the second one was
// closed in its place, 5 times in 9,000 runs of TestIdleConnectionsAreBounded.
func TestLatecomerIsIdleLongest(t *testing.T) {
	l := idleList{most: 2}
	begin := time.Now()
	var conns []*conn
	for i := range 3 {
		conns = append(conns, &conn{since: begin.Add(time.Duration(i) * time.Second)})
	}
	for _, i := range []int{1, 2, 0} {
		l.add(conns[i], conns[i].since)
	}
	_, listed := l.at[conns[0]]
	assert.Assert(t, !listed)
	assert.Equal(t, l.order.Len(), 2)
}
