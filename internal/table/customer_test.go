package table

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCustomersAreFoundByKey(t *testing.T) {
	c, fs := NewCustomers([]Customer{{Name: "hauliers", Keys: []string{"k1", "k2"}, Rate: 5}, {Name: "growers", Keys: []string{"k3"}}})
	assert.Equal(t, len(fs), 0)
	assert.Equal(t, c.ByKey("k2").Name, "hauliers")
	assert.Equal(t, c.ByKey("k3").Name, "growers")
	assert.Equal(t, c.ByName("growers"), c.ByKey("k3"))
	for _, key := range []string{"", "k", "k4", "k1 "} {
		assert.Assert(t, c.ByKey(key) == nil, "%q", key)
	}
	var none *Customers
	assert.Assert(t, none.ByKey("k1") == nil && none.ByName("growers") == nil && !none.Exist())
}

// A defect costs the key or the limit that it concerns, and no finding tells a key.
func TestDefectsOfCustomers(t *testing.T) {
	negative := -1.0
	tests := []struct {
		name  string
		list  []Customer
		want  string
		works []string // keys that still work
		fails []string // keys that do not
	}{
		{"key of two", []Customer{{Name: "a", Keys: []string{"sh4red", "own"}}, {Name: "b", Keys: []string{"sh4red"}}}, "row 2, column customer-keys: duplicate", []string{"own"}, []string{"sh4red"}},
		{"key of three", []Customer{{Name: "a", Keys: []string{"sh4red"}}, {Name: "b", Keys: []string{"sh4red"}}, {Name: "c", Keys: []string{"sh4red"}}}, "row 3, column customer-keys: duplicate", nil, []string{"sh4red"}},
		{"empty key", []Customer{{Name: "a", Keys: []string{"", "own"}}}, "row 1, column customer-keys: missing", []string{"own"}, []string{""}},
		{"name twice", []Customer{{Name: "a", Keys: []string{"own"}}, {Name: "a"}}, "row 2, column customer-name: duplicate", []string{"own"}, nil},
		{"negative rate", []Customer{{Name: "a", Keys: []string{"own"}, Rate: negative}}, "row 1, column customer-rate: range", []string{"own"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, fs := NewCustomers(tt.list)
			assert.Assert(t, strings.Contains(fs.Error(), tt.want), fs.Error())
			assert.Assert(t, !strings.Contains(fs.Error(), "sh4red"), fs.Error())
			for _, key := range tt.works {
				assert.Assert(t, c.ByKey(key) != nil, "%q", key)
			}
			for _, key := range tt.fails {
				assert.Assert(t, c.ByKey(key) == nil, "%q", key)
			}
			for _, one := range c.All() {
				assert.Assert(t, one.Rate >= 0)
			}
		})
	}
}
