package poison

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request and its identical copies. It is a hash that
// is not keyed: a caller that crafts a collision can make requests that it
// could send itself be refused, no more.
type Fingerprint uint64

// Request holds the parts of a request that make up its fingerprint. The
// caller's account is not among them, as copies may come from several accounts.
type Request struct {
	Service, Method, Path, Query, IdempotencyKey string
	Body                                         []byte
}

// Of returns the fingerprint of a request.
func Of(r Request) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	var size [8]byte
	// The lengths keep the boundaries of the parts apart.
	for _, s := range [...]string{r.Service, r.Method, r.Path, r.Query, r.IdempotencyKey} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

// Named returns the home that runs suspects with this fingerprint, by
// rendezvous hashing; empty when there are no homes.
func Named(fp Fingerprint, homes []string) string {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(fp))
	best, bestWeight := "", uint64(0)
	var d xxhash.Digest
	for _, h := range homes {
		d.Reset()
		_, _ = d.Write(seed[:])
		_, _ = d.WriteString(h)
		w := d.Sum64()
		if best == "" || w > bestWeight || (w == bestWeight && h < best) {
			best, bestWeight = h, w
		}
	}
	return best
}

// ownedBy returns the upstreams at which a home may run suspects. Suspects of
// different homes so never meet at one upstream, where one of them would be
// seen at the crash that the other causes. The upstreams are dealt out in turn
// rather than by rendezvous, which leaves some of a few homes with none.
func ownedBy(self string, homes []string, upstreams []Option) []string {
	sorted := slices.Sorted(slices.Values(homes))
	ids := make([]string, 0, len(upstreams))
	for _, o := range upstreams {
		ids = append(ids, o.Upstream)
	}
	slices.Sort(ids)
	var owned []string
	for i, id := range ids {
		if len(sorted) > 0 && sorted[i%len(sorted)] == self {
			owned = append(owned, id)
		}
	}
	return owned
}
