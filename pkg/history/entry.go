package history

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

const (
	// MaxEntries is how many changes of a service are kept.
	MaxEntries = 20
	// maxBytes leaves room below the platform's limit; older entries are
	// dropped to stay under it.
	maxBytes = platform.MaxValueBytes - 1<<12
)

// Entry is one change of a service's document.
type Entry struct {
	// Version is the platform version of the document; it identifies the entry.
	Version uint64 `json:"version"`
	// Time is when the change was accepted; zero if Repaired.
	Time time.Time `json:"time"`
	// Author is who made the change; empty if Repaired.
	Author string `json:"author"`
	// Document is the whole text; empty if the document was deleted.
	Document string `json:"document"`
	// Previous is the version that the change replaced; 0 if there was none or
	// if Repaired.
	Previous uint64 `json:"previous"`
	// Repaired marks an entry that was filled in by the change after it.
	Repaired bool `json:"repaired,omitempty"`
}

// merge returns the entries with the new one and, if it is missing, the one
// that it replaced. Entries are ordered by version, the newest first.
func merge(entries []Entry, entry Entry, replaced string) []Entry {
	merged := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Version == entry.Version })
	merged = append(merged, entry)
	if entry.Previous != 0 && find(entries, entry.Previous) < 0 {
		merged = append(merged, Entry{Version: entry.Previous, Document: replaced, Repaired: true})
	}
	slices.SortFunc(merged, func(a, b Entry) int {
		if a.Version > b.Version {
			return -1
		}
		return 1
	})
	return merged[:min(len(merged), MaxEntries)]
}

// contains reports whether the entry was appended already.
func contains(entries []Entry, version uint64) bool {
	i := find(entries, version)
	return i >= 0 && !entries[i].Repaired
}

func find(entries []Entry, version uint64) int {
	return slices.IndexFunc(entries, func(e Entry) bool { return e.Version == version })
}

// encode returns the stored value, without the oldest entries that don't fit.
func encode(entries []Entry) ([]byte, error) {
	for {
		value, err := json.Marshal(entries)
		if err != nil || len(value) <= maxBytes || len(entries) == 1 {
			return value, errors.Wrap(err, "history: encode")
		}
		entries = entries[:len(entries)-1]
	}
}

func decode(value []byte) ([]Entry, error) {
	var entries []Entry
	err := json.Unmarshal(value, &entries)
	return entries, errors.Wrap(err, "history: decode")
}
