package claims

// New returns the ledger of the default layout, NewBuckets. It needs two
// platform writes per keyed request that runs, where NewObjects needs three;
// see docs/decisions/at-most-once.md.
func New(config Config) (Ledger, error) { return NewBuckets(config) }
