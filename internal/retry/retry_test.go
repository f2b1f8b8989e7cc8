package retry

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func goodTry() Try {
	return Try{Class: Refused, Number: 1, Retries: 1, Remaining: time.Second, Replayable: true}
}

func TestAgain(t *testing.T) {
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
			try := goodTry()
			c.change(&try)
			assert.Equal(t, NewBudget(DefaultPolicy()).Decide(try), c.want)
		})
	}
}

// Whatever happens, retries stay below a tenth of the first tries and the
// reserve, and a request that may have run is tried again only if idempotent.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		b := NewBudget(p)
		first, again := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"first": func(*rapid.T) { b.Deposit(); first++ },
			"fail": func(t *rapid.T) {
				try := goodTry()
				try.Class = Class(rapid.IntRange(0, int(Ambiguous)).Draw(t, "class"))
				try.Idempotent = rapid.Bool().Draw(t, "idempotent")
				if b.Decide(try) == Allowed {
					again++
					assert.Assert(t, try.Class.NotRun() || try.Idempotent)
				}
			},
			"": func(t *rapid.T) {
				assert.Assert(t, float64(again) <= p.Reserve+p.Ratio*float64(first)+1e-9)
			},
		})
	})
}

// chain counts the tries at the bottom of a chain of services when the last
// one refuses everything. Each level tries again only refusals of the level
// right below, as only those carry a class; what a service answers because its
// own call failed is an answer.
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
			try := goodTry()
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
	// Without the marking every level doubles the load.
	assert.Equal(t, chain(10, false), 1<<10)
}

func TestClassNames(t *testing.T) {
	for c := Answered; c <= Ambiguous; c++ {
		assert.Equal(t, ParseClass(c.String()), c)
	}
	assert.Equal(t, ParseClass("whatever"), Answered)
}
