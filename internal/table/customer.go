package table

import (
	"crypto/sha256"
	"math"
)

// Customer is a client of the mesh, identified by the API key that its requests carry.
type Customer struct {
	Name string // unique among customers
	// Keys are the API keys of the customer. No two customers may have the same key.
	Keys []string
	// Priority replaces the priority of the route for the customer's requests; nil keeps
	// the route's.
	Priority *int
	// Rate is the limit in requests per second over the whole fleet, and Burst the number
	// of requests allowed at once beyond it. A Rate of 0 means no limit.
	Rate, Burst float64
}

// The columns named in findings about customers. They are not columns of the CSV form,
// which has no customers.
const (
	ColCustomerName  Column = "customer-name"
	ColCustomerKeys  Column = "customer-keys"
	ColCustomerRate  Column = "customer-rate"
	ColCustomerBurst Column = "customer-burst"
)

// keyHash is the SHA-256 of a key. Looking up the hash keeps the time of a look-up from
// revealing how many leading bytes of a wrong key match a valid one.
type keyHash [sha256.Size]byte

// Customers indexes the customers of one version of the table by key and by name. It must
// not be changed.
type Customers struct {
	list   []Customer
	byKey  map[keyHash]*Customer
	byName map[string]*Customer
}

// NewCustomers indexes the customers of list. It keeps customers that have defects: an
// empty key, or one that several customers have, identifies none of them, and an invalid
// limit is removed. Each defect is a finding whose row is the position of the customer in
// list, from 1. Messages do not contain the key.
func NewCustomers(list []Customer) (*Customers, Findings) {
	var findings Findings
	c := &Customers{list: list, byKey: make(map[keyHash]*Customer), byName: make(map[string]*Customer, len(list))}
	ambiguous := make(map[keyHash]bool)
	for i := range list {
		customer, row := &list[i], i+1
		if customer.Name == "" || c.byName[customer.Name] != nil {
			addFinding(&findings, row, ColCustomerName, RuleDuplicate, "name %q is empty or already used", customer.Name)
		}
		c.byName[customer.Name] = customer
		clearInvalidLimit(&findings, row, ColCustomerRate, &customer.Rate)
		clearInvalidLimit(&findings, row, ColCustomerBurst, &customer.Burst)
		for n, key := range customer.Keys {
			hash := keyHash(sha256.Sum256([]byte(key)))
			holder, exists := c.byKey[hash]
			switch {
			case key == "":
				addFinding(&findings, row, ColCustomerKeys, RuleMissing, "key %d is empty", n+1)
			case exists && holder != customer || ambiguous[hash]:
				addFinding(&findings, row, ColCustomerKeys, RuleDuplicate, "key %d also belongs to another customer", n+1)
				ambiguous[hash] = true
				delete(c.byKey, hash)
			default:
				c.byKey[hash] = customer
			}
		}
	}
	return c, findings
}

// clearInvalidLimit reports a limit that is negative, infinite or not a number and sets
// it to 0, which means no limit.
func clearInvalidLimit(findings *Findings, row int, col Column, limit *float64) {
	if *limit >= 0 && !math.IsInf(*limit, 0) {
		return
	}
	addFinding(findings, row, col, RuleRange, "%v is not a valid limit", *limit)
	*limit = 0
}

// All returns the customers in the order given to NewCustomers. On a nil receiver it
// returns nil.
func (c *Customers) All() []Customer {
	if c == nil {
		return nil
	}
	return c.list
}

// NotEmpty reports whether the table has any customer; if so, requests need a key.
func (c *Customers) NotEmpty() bool { return c != nil && len(c.list) > 0 }

// ByKey returns the customer with the key, or nil.
func (c *Customers) ByKey(key string) *Customer {
	if c == nil || key == "" {
		return nil
	}
	return c.byKey[sha256.Sum256([]byte(key))]
}

// ByName returns the customer with the name, or nil.
func (c *Customers) ByName(name string) *Customer {
	if c == nil {
		return nil
	}
	return c.byName[name]
}
