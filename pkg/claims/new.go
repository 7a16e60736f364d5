package claims

// New returns the ledger of the default layout.
func New(config Config) (Ledger, error) { return NewObjects(config) }
