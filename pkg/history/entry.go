package history

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

const (
	// MaxEntries is the maximum number of entries per service.
	MaxEntries = 20
	// maxStoredBytes is the maximum size of a stored history, with a margin to the
	// platform's limit. The oldest entries are dropped to stay within it.
	maxStoredBytes = platform.MaxValueBytes - 1<<12
)

// Entry is one change of a service's document.
type Entry struct {
	// Version is the platform version of the document; it identifies the entry.
	Version uint64 `json:"version"`
	// Time is when the change was accepted; zero if Repaired.
	Time time.Time `json:"time"`
	// Author is the author of the change; empty if Repaired.
	Author string `json:"author"`
	// Document is the complete text; empty if the document was deleted.
	Document string `json:"document"`
	// Previous is the version that the change replaced; 0 for a new document or if
	// Repaired.
	Previous uint64 `json:"previous"`
	// Repaired marks a missing entry that a later change added.
	Repaired bool `json:"repaired,omitempty"`
}

// merge adds entry to the entries and, if missing, an entry for the version that
// it replaced. The result is sorted by version, newest first.
func merge(entries []Entry, entry Entry, replacedText string) []Entry {
	merged := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Version == entry.Version })
	merged = append(merged, entry)
	if entry.Previous != 0 && indexOf(entries, entry.Previous) < 0 {
		merged = append(merged, Entry{Version: entry.Previous, Document: replacedText, Repaired: true})
	}
	slices.SortFunc(merged, func(a, b Entry) int {
		if a.Version > b.Version {
			return -1
		}
		return 1
	})
	return merged[:min(len(merged), MaxEntries)]
}

// isAppended reports whether the writer of a version has appended its entry.
func isAppended(entries []Entry, version uint64) bool {
	i := indexOf(entries, version)
	return i >= 0 && !entries[i].Repaired
}

func indexOf(entries []Entry, version uint64) int {
	return slices.IndexFunc(entries, func(e Entry) bool { return e.Version == version })
}

// encode returns the value to store, without the oldest entries that do not fit.
func encode(entries []Entry) ([]byte, error) {
	for {
		value, err := json.Marshal(entries)
		if err != nil || len(value) <= maxStoredBytes || len(entries) == 1 {
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
