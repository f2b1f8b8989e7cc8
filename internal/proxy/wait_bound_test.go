package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
)

// A bound that can't be read must not end the request: it queues as without one.
func TestWorthwhileWaitHeader(t *testing.T) {
	const us = time.Microsecond
	for _, c := range []struct {
		value string
		want  admission.WaitBound
	}{
		{"", admission.WaitBound{}},
		{"12000/1500", admission.WaitBound{Worthwhile: 12000 * us, RoundTrip: 1500 * us}},
		{"12000/1500/new", admission.WaitBound{Worthwhile: 12000 * us, RoundTrip: 1500 * us}},
		{"12000", admission.WaitBound{Worthwhile: 12000 * us}},
		{"12000/x", admission.WaitBound{Worthwhile: 12000 * us}},
		{"0", admission.WaitBound{Worthwhile: us}},
		{"-1/1500", admission.WaitBound{}},
		{"1e3", admission.WaitBound{}},
		{"9223372036854775807", admission.WaitBound{}},
	} {
		assert.Equal(t, parseWaitBound(c.value), c.want, "%q", c.value)
	}
	h := http.Header{}
	sent := Envelope{WaitBound: admission.WaitBound{Worthwhile: 12 * time.Millisecond, RoundTrip: time.Millisecond}, Timeout: time.Second}
	sent.write(h)
	got, err := readEnvelope(h)
	assert.NilError(t, err)
	assert.Equal(t, got.WaitBound, sent.WaitBound)
	Envelope{Timeout: time.Second}.write(h)
	_, present := h[headerWorthwhileWait]
	assert.Assert(t, !present, "a caller or an earlier node must not set the bound")
}

// A request that can't be sent again, or whose body would cross the link twice, must not
// be returned whatever its sender asks for.
func TestBackendIgnoresBound(t *testing.T) {
	bound := admission.WaitBound{Worthwhile: time.Millisecond}
	for _, c := range []struct {
		name string
		call backendCall
		want admission.WaitBound
	}{
		{"usual", backendCall{env: Envelope{WaitBound: bound}}, bound},
		{"body was received", backendCall{env: Envelope{WaitBound: bound}, receivedAt: time.Unix(1000, 0)}, admission.WaitBound{}},
		{"streamed body", backendCall{env: Envelope{WaitBound: bound, AwaitsAdmission: true}}, admission.WaitBound{}},
		{"key owner", backendCall{env: Envelope{WaitBound: bound}, keyed: true}, admission.WaitBound{}},
	} {
		assert.Equal(t, c.call.waitBound(), c.want, c.name)
	}
}
