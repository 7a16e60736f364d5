package claims

// New returns a ledger with the default layout, NewBuckets. It makes two
// platform writes per keyed request that runs; NewObjects makes three. See
// docs/decisions/at-most-once.md.
func New(config Config) (Ledger, error) { return NewBuckets(config) }
