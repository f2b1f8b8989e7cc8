package table

import (
	"crypto/sha256"
	"math"
)

// Customer is a party whose requests carry one of its keys.
type Customer struct {
	Name string // unique among customers
	// Keys identify the customer; each belongs to one customer alone.
	Keys []string
	// Priority ranks its requests in place of their routes'; nil leaves that of the route.
	Priority *int
	// Rate is the limit over the whole fleet in requests per second, and Burst what may
	// come beyond it at once; a Rate of 0 means no limit.
	Rate, Burst float64
}

// Columns of a customer in findings.
const (
	ColCustomerName  Column = "customer-name"
	ColCustomerKeys  Column = "customer-keys"
	ColCustomerRate  Column = "customer-rate"
	ColCustomerBurst Column = "customer-burst"
)

// keyHash stands for a key, so that a look-up takes the same time however much of a
// wrong key is right.
type keyHash [sha256.Size]byte

// Customers are the customers of one version of the table, by key. They must not be
// changed.
type Customers struct {
	list  []Customer
	byKey map[keyHash]*Customer
	named map[string]*Customer
}

// NewCustomers indexes customers. A key that two of them hold, or that is empty, works for
// none, and a customer with an impossible limit gets none; each is a finding whose row is
// the place of the customer in the list, from 1.
func NewCustomers(list []Customer) (*Customers, Findings) {
	var fs Findings
	c := &Customers{list: list, byKey: make(map[keyHash]*Customer), named: make(map[string]*Customer, len(list))}
	shared := make(map[keyHash]bool)
	for i := range list {
		one, row := &list[i], i+1
		if one.Name == "" || c.named[one.Name] != nil {
			add(&fs, row, ColCustomerName, RuleDuplicate, "name %q is empty or taken", one.Name)
		}
		c.named[one.Name] = one
		checkLimit(&fs, row, ColCustomerRate, &one.Rate)
		checkLimit(&fs, row, ColCustomerBurst, &one.Burst)
		for n, key := range one.Keys {
			h := keyHash(sha256.Sum256([]byte(key)))
			holder, taken := c.byKey[h]
			switch {
			case key == "":
				add(&fs, row, ColCustomerKeys, RuleMissing, "key %d is empty", n+1)
			case taken && holder != one || shared[h]:
				add(&fs, row, ColCustomerKeys, RuleDuplicate, "key %d is held by another customer too", n+1)
				shared[h] = true
				delete(c.byKey, h)
			default:
				c.byKey[h] = one
			}
		}
	}
	return c, fs
}

// checkLimit replaces a limit that is no amount by none.
func checkLimit(fs *Findings, row int, col Column, limit *float64) {
	if *limit >= 0 && !math.IsInf(*limit, 0) {
		return
	}
	add(fs, row, col, RuleRange, "%v is no limit", *limit)
	*limit = 0
}

// All returns the customers; none on nil.
func (c *Customers) All() []Customer {
	if c == nil {
		return nil
	}
	return c.list
}

// Exist reports whether the table names any customer, so that requests need a key.
func (c *Customers) Exist() bool { return c != nil && len(c.list) > 0 }

// ByKey returns the customer that holds a key; nil if none does.
func (c *Customers) ByKey(key string) *Customer {
	if c == nil || key == "" {
		return nil
	}
	return c.byKey[sha256.Sum256([]byte(key))]
}

// ByName returns the customer of a name; nil if there is none.
func (c *Customers) ByName(name string) *Customer {
	if c == nil {
		return nil
	}
	return c.named[name]
}
