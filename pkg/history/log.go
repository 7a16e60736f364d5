package history

import (
	"context"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

// ErrNotFound means that the history has no entry for the version.
var ErrNotFound = errors.New("history: no such version")

// Log reads histories and appends to them. It is safe for concurrent use, also by
// several daemons for the same service.
type Log struct {
	Store platform.Store
}

func objectKey(service string) string { return "history/" + service }

// Append adds an entry to the history of the service. replacedText is the document
// of version entry.Previous. Append retries after conflicts and lost replies until
// ctx ends. After an error it is unknown whether the entry was stored; Append may
// be called again.
func (l *Log) Append(ctx context.Context, service string, entry Entry, replacedText string) error {
	for {
		entries, version, err := l.read(ctx, service)
		if err != nil {
			return err
		}
		if isAppended(entries, entry.Version) {
			return nil
		}
		value, err := encode(merge(entries, entry, replacedText))
		if err != nil {
			return err
		}
		if version == 0 {
			_, err = l.Store.Create(ctx, objectKey(service), value)
		} else {
			_, err = l.Store.Update(ctx, objectKey(service), version, value)
		}
		if err == nil {
			return nil
		}
		if !errors.IsAny(err, platform.ErrConflict, platform.ErrUnknownOutcome) || ctx.Err() != nil {
			return errors.Wrap(err, "history: append")
		}
	}
}

// List returns the entries of the service, newest first, or none if the service
// has no history.
func (l *Log) List(ctx context.Context, service string) ([]Entry, error) {
	entries, _, err := l.read(ctx, service)
	return entries, err
}

// Get returns the entry for a document version, or ErrNotFound.
func (l *Log) Get(ctx context.Context, service string, version uint64) (Entry, error) {
	entries, _, err := l.read(ctx, service)
	if err != nil {
		return Entry{}, err
	}
	if i := indexOf(entries, version); i >= 0 {
		return entries[i], nil
	}
	return Entry{}, errors.Wrapf(ErrNotFound, "version %d of %s", version, service)
}

// read returns the entries and the version of the stored object, or version 0 if
// there is none.
func (l *Log) read(ctx context.Context, service string) ([]Entry, uint64, error) {
	o, err := l.Store.Get(ctx, objectKey(service))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "history: read")
	}
	entries, err := decode(o.Value)
	return entries, o.Version, err
}
