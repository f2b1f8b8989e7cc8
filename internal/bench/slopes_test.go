package bench

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFit(t *testing.T) {
	l, err := Fit([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	assert.NilError(t, err)
	assert.Equal(t, l, Line{Base: 3, Slope: 2})
	assert.Equal(t, l.At(10), 23.0)
	l, err = Fit([]float64{0, 1, 2}, []float64{0, 3, 0})
	assert.NilError(t, err)
	assert.Equal(t, l.Slope, 0.0)
	assert.Assert(t, l.Spread > 1.41 && l.Spread < 1.42)
	_, err = Fit([]float64{2, 2}, []float64{1, 3})
	assert.ErrorContains(t, err, "two different")
}
