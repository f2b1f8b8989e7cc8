package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// An output that is never read blocks neither Write nor Flush beyond its timeout, and the
// buffer stays bounded.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		w := NewAsyncWriter(writer, 10)
		for range 1000 {
			n, err := w.Write([]byte("line\n"))
			assert.NilError(t, err)
			assert.Equal(t, n, 5)
			synctest.Wait()
		}
		// One line is in the blocked write, ten are buffered.
		assert.Equal(t, w.Dropped(), int64(1000-11))
		start := time.Now()
		w.Flush(time.Second)
		assert.Equal(t, time.Since(start), time.Second)
		// Let the writer's goroutine end: writes to the closed pipe fail, and the nil line
		// that Flush found no room for is sent again.
		assert.NilError(t, reader.Close())
		synctest.Wait()
		w.lines <- nil
		<-w.done
	})
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out, 100)
	for _, c := range "abc" {
		_, _ = w.Write([]byte(string(c) + "\n"))
	}
	w.Flush(time.Minute)
	assert.Equal(t, out.String(), strings.Join([]string{"a", "b", "c", ""}, "\n"))
	assert.Equal(t, w.Dropped(), int64(0))
}
