package retry

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func retryableTry() Try {
	return Try{Class: Refused, Number: 1, Retries: 1, Remaining: time.Second, Replayable: true}
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Try)
		want   Reason
	}{
		{"refused", func(*Try) {}, Allowed},
		{"limited", func(t *Try) { t.Class = Limited }, Allowed},
		{"never dispatched", func(t *Try) { t.Class = NeverDispatched }, Allowed},
		{"answered", func(t *Try) { t.Class = Answered }, ReasonDone},
		{"ambiguous", func(t *Try) { t.Class = Ambiguous }, ReasonMayRun},
		{"ambiguous but idempotent", func(t *Try) { t.Class = Ambiguous; t.Idempotent = true }, Allowed},
		{"refused everywhere", func(t *Try) { t.RefusedEverywhere = true }, ReasonEverywhere},
		{"tries used", func(t *Try) { t.Number = 2 }, ReasonTries},
		{"no time", func(t *Try) { t.Remaining = time.Millisecond }, ReasonTime},
		{"body gone", func(t *Try) { t.Replayable = false }, ReasonBody},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			try := retryableTry()
			c.change(&try)
			assert.Equal(t, NewBudget(DefaultPolicy()).Decide(try), c.want)
		})
	}
}

// Retries never exceed a tenth of the first tries plus the reserve, and a request that
// may have run is only retried if it is idempotent.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		b := NewBudget(p)
		first, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"first": func(*rapid.T) { b.Deposit(); first++ },
			"fail": func(t *rapid.T) {
				try := retryableTry()
				try.Class = Class(rapid.IntRange(0, int(Ambiguous)).Draw(t, "class"))
				try.Idempotent = rapid.Bool().Draw(t, "idempotent")
				if b.Decide(try) == Allowed {
					retries++
					assert.Assert(t, try.Class.NotRun() || try.Idempotent)
				}
			},
			"": func(t *rapid.T) {
				assert.Assert(t, float64(retries) <= p.Reserve+p.Ratio*float64(first)+1e-9)
			},
		})
	})
}

// chain returns the number of tries at the end of a chain of services whose last one
// refuses every request. Only a refusal by the next level carries a class and is retried.
// If marked, the response of a service whose own call failed counts as an answer.
func chain(levels int, marked bool) int {
	bottom := 0
	var call func(level int) Class
	call = func(level int) Class {
		if level == levels {
			bottom++
			return Limited
		}
		b := NewBudget(Policy{Ratio: 1, Reserve: math.Inf(1), MinRemaining: 0})
		for n := 1; ; n++ {
			c := call(level + 1)
			try := retryableTry()
			try.Class, try.Number = c, n
			if b.Decide(try) != Allowed {
				if marked && level > 0 {
					return Answered
				}
				return c
			}
		}
	}
	call(0)
	return bottom
}

func TestOnlyOneOfNineteenLevelsRetries(t *testing.T) {
	assert.Equal(t, chain(19, true), 2)
	// Unmarked, every level passes the class on and doubles the load.
	assert.Equal(t, chain(10, false), 1<<10)
}

func TestClassNames(t *testing.T) {
	for c := Answered; c <= Ambiguous; c++ {
		assert.Equal(t, ParseClass(c.String()), c)
	}
	assert.Equal(t, ParseClass("whatever"), Answered)
}
