// Package account holds the accounts of callers.
package account

// Digest identifies a key without containing it.
type Digest [16]byte

// Account is a client account.
type Account struct {
	Name string
	Keys []Digest
	// Priority orders accounts under overload, 0 is the highest; nil means that the
	// route's priority counts.
	Priority *int
	// Rate (requests per second over the whole fleet) and Burst are the allowance; Rate 0
	// means no limit.
	Rate, Burst float64
}
