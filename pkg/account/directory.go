package account

import (
	"cmp"
	"crypto/subtle"
	"encoding/binary"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Directory finds accounts by key. It is immutable and safe for concurrent use. It has sorted
// slices in place of maps, because a map does not compare its keys in constant time.
type Directory struct {
	accounts []Account
	// byName holds the indices of accounts in the order of their names.
	byName []uint32
	// digests are the digests of all keys in ascending order. owners are the indices of
	// their accounts.
	digests []Digest
	owners  []uint32
	// hasRates is true if any account has a rate.
	hasRates bool
}

// HasRates reports whether any account has an allowance.
func (d *Directory) HasRates() bool { return d.hasRates }

// NewDirectory returns the directory of the accounts. It keeps the slice, which must not
// change afterwards. An error names an account that is invalid, or two accounts that have
// the same name or a key in common.
func NewDirectory(accounts []Account) (*Directory, error) {
	d := &Directory{accounts: accounts, byName: make([]uint32, len(accounts))}
	keys := 0
	for i := range accounts {
		if err := accounts[i].Check(); err != nil {
			return nil, err
		}
		d.byName[i] = uint32(i)
		d.hasRates = d.hasRates || accounts[i].Rate > 0
		keys += len(accounts[i].Keys)
	}
	slices.SortFunc(d.byName, func(a, b uint32) int { return strings.Compare(accounts[a].Name, accounts[b].Name) })
	for i := 1; i < len(d.byName); i++ {
		if name := accounts[d.byName[i]].Name; name == accounts[d.byName[i-1]].Name {
			return nil, errors.Newf("account %q: there are two accounts with this name", name)
		}
	}
	return d, d.indexKeys(keys)
}

// indexKeys fills in digests and owners. count is the number of keys.
func (d *Directory) indexKeys(count int) error {
	type entry struct {
		digest Digest
		owner  uint32
	}
	entries := make([]entry, 0, count)
	for i := range d.accounts {
		for _, digest := range d.accounts[i].Keys {
			entries = append(entries, entry{digest, uint32(i)})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.digest.prefix(), b.digest.prefix()), slices.Compare(a.digest[:], b.digest[:]), cmp.Compare(a.owner, b.owner))
	})
	d.digests, d.owners = make([]Digest, 0, count), make([]uint32, 0, count)
	for i, e := range entries {
		if i > 0 && e.digest == entries[i-1].digest {
			if e.owner != entries[i-1].owner {
				return errors.Newf("accounts %q and %q have a key in common", d.accounts[entries[i-1].owner].Name, d.accounts[e.owner].Name)
			}
			continue // The account lists the key twice.
		}
		d.digests, d.owners = append(d.digests, e.digest), append(d.owners, e.owner)
	}
	return nil
}

// prefix returns the first 8 bytes of the digest.
func (d Digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:8]) }

// Find returns the account that has the key.
//
// The search by the first half of the digest takes a time that depends on the stored
// digests. It is no way to guess a key: whoever sends a key cannot choose its digest, and
// the second half is compared in constant time.
func (d *Directory) Find(key []byte) (*Account, bool) {
	if len(key) == 0 || len(key) > MaxKeyBytes {
		return nil, false
	}
	digest := DigestOf(key)
	prefix := digest.prefix()
	first := sort.Search(len(d.digests), func(i int) bool { return d.digests[i].prefix() >= prefix })
	for i := first; i < len(d.digests) && d.digests[i].prefix() == prefix; i++ {
		if subtle.ConstantTimeCompare(d.digests[i][:], digest[:]) == 1 {
			return &d.accounts[d.owners[i]], true
		}
	}
	return nil, false
}

// ByName returns the account of that name.
func (d *Directory) ByName(name string) (*Account, bool) {
	i, found := sort.Find(len(d.byName), func(i int) int { return strings.Compare(name, d.accounts[d.byName[i]].Name) })
	if !found {
		return nil, false
	}
	return &d.accounts[d.byName[i]], true
}

// Len returns the number of accounts.
func (d *Directory) Len() int { return len(d.accounts) }
