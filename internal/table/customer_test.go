package table

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCustomerLookup(t *testing.T) {
	c, findings := NewCustomers([]Customer{{Name: "hauliers", Keys: []string{"k1", "k2"}, Rate: 5}, {Name: "growers", Keys: []string{"k3"}}})
	assert.Equal(t, len(findings), 0)
	assert.Equal(t, c.ByKey("k2").Name, "hauliers")
	assert.Equal(t, c.ByKey("k3").Name, "growers")
	assert.Equal(t, c.ByName("growers"), c.ByKey("k3"))
	for _, key := range []string{"", "k", "k4", "k1 "} {
		assert.Assert(t, c.ByKey(key) == nil, "%q", key)
	}
	var none *Customers
	assert.Assert(t, none.ByKey("k1") == nil && none.ByName("growers") == nil && !none.NotEmpty())
}

// A defect disables only the key or limit concerned, and no finding contains a key,
// because findings are logged.
func TestNewCustomersFindings(t *testing.T) {
	negative := -1.0
	tests := []struct {
		name    string
		list    []Customer
		want    string
		valid   []string // keys that still identify a customer
		invalid []string // keys that do not
	}{
		{"key of two customers", []Customer{{Name: "a", Keys: []string{"sh4red", "own"}}, {Name: "b", Keys: []string{"sh4red"}}}, "row 2, column customer-keys: duplicate", []string{"own"}, []string{"sh4red"}},
		{"key of three customers", []Customer{{Name: "a", Keys: []string{"sh4red"}}, {Name: "b", Keys: []string{"sh4red"}}, {Name: "c", Keys: []string{"sh4red"}}}, "row 3, column customer-keys: duplicate", nil, []string{"sh4red"}},
		{"empty key", []Customer{{Name: "a", Keys: []string{"", "own"}}}, "row 1, column customer-keys: missing", []string{"own"}, []string{""}},
		{"duplicate name", []Customer{{Name: "a", Keys: []string{"own"}}, {Name: "a"}}, "row 2, column customer-name: duplicate", []string{"own"}, nil},
		{"negative rate", []Customer{{Name: "a", Keys: []string{"own"}, Rate: negative}}, "row 1, column customer-rate: range", []string{"own"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, findings := NewCustomers(tt.list)
			assert.Assert(t, strings.Contains(findings.Error(), tt.want), findings.Error())
			assert.Assert(t, !strings.Contains(findings.Error(), "sh4red"), findings.Error())
			for _, key := range tt.valid {
				assert.Assert(t, c.ByKey(key) != nil, "%q", key)
			}
			for _, key := range tt.invalid {
				assert.Assert(t, c.ByKey(key) == nil, "%q", key)
			}
			for _, customer := range c.All() {
				assert.Assert(t, customer.Rate >= 0)
			}
		})
	}
}
