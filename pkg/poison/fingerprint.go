package poison

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request and its identical copies. The hash is not keyed.
// A caller that crafts a collision can cause the refusal only of requests that it
// could send itself.
type Fingerprint uint64

// Request holds the parts of a request that are included in its fingerprint. The
// client account is not included because copies may come from several accounts.
type Request struct {
	Service, Method, Path, Query, IdempotencyKey string
	Body                                         []byte
}

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(r Request) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	var size [8]byte
	// The length prefixes prevent collisions between shifted part boundaries.
	for _, s := range [...]string{r.Service, r.Method, r.Path, r.Query, r.IdempotencyKey} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

// HomeFor returns the home that runs suspects with this fingerprint, chosen by
// rendezvous hashing. It returns an empty string if there are no homes.
func HomeFor(fp Fingerprint, homes []string) string {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(fp))
	bestHome, bestWeight := "", uint64(0)
	var d xxhash.Digest
	for _, h := range homes {
		d.Reset()
		_, _ = d.Write(seed[:])
		_, _ = d.WriteString(h)
		w := d.Sum64()
		if bestHome == "" || w > bestWeight || (w == bestWeight && h < bestHome) {
			bestHome, bestWeight = h, w
		}
	}
	return bestHome
}

// assignedUpstreams returns the upstreams at which a home may run suspects. Suspects
// of different homes therefore never share an upstream, where a crash caused by one
// would count against the other. The assignment is round robin: with few homes,
// rendezvous hashing can leave a home without upstreams.
func assignedUpstreams(self string, homes []string, upstreams []Candidate) []string {
	sorted := slices.Sorted(slices.Values(homes))
	ids := make([]string, 0, len(upstreams))
	for _, o := range upstreams {
		ids = append(ids, o.Upstream)
	}
	slices.Sort(ids)
	var assigned []string
	for i, id := range ids {
		if len(sorted) > 0 && sorted[i%len(sorted)] == self {
			assigned = append(assigned, id)
		}
	}
	return assigned
}
