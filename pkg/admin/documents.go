package admin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/rs/zerolog"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
	"shallotglade/pkg/history"
	"shallotglade/pkg/platform"
)

// Documents reads and changes service documents in the platform.
type Documents struct {
	Store   platform.Store
	Board   *blackboard.Board
	History *history.Log
	Log     zerolog.Logger
	// Publish distributes an accepted object.
	Publish func(platform.Object)
	Now     func() time.Time
}

// AllTeams is the team of keys that grant access to every service.
const AllTeams = "*"

// Get returns a document, or a Failure.
func (d *Documents) Get(ctx context.Context, name string) (Service, error) {
	o, err := d.Store.Get(ctx, document.ServicesPrefix+name)
	if err != nil {
		return Service{}, platformFailure(err)
	}
	return serviceFromObject(name, o)
}

func serviceFromObject(name string, o platform.Object) (Service, error) {
	stored, err := document.DecodeStored(o.Value)
	if err != nil {
		return Service{}, err
	}
	s := Service{Name: name, Version: o.Version, Author: stored.Author, At: stored.At, Document: stored.Document}
	if parsed, _, err := document.Load([]byte(stored.Document)); err == nil {
		s.Team = parsed.Team
	}
	return s, nil
}

// Put creates a document (version 0) or replaces the given version. team is the
// team of the administration key.
func (d *Documents) Put(ctx context.Context, team, name string, version uint64, text []byte) (Service, error) {
	parsed, problems := document.Parse(name+".yaml", text)
	if len(problems) > 0 {
		return Service{}, &Failure{Status: 422, Reason: ReasonInvalid, Detail: "The document has problems.", Problems: problems}
	}
	if parsed.Service != name {
		return Service{}, &Failure{Status: 422, Reason: ReasonInvalid, Detail: "The document describes service " + parsed.Service + ", not " + name + "."}
	}
	previous, err := d.authorizeChange(ctx, team, name, parsed)
	if err != nil {
		return Service{}, err
	}
	if otherService, taken := d.serviceWithRoute(parsed); taken {
		return Service{}, &Failure{Status: 409, Reason: ReasonRouteTaken, Detail: "Service " + otherService + " has one of the routes."}
	}
	stored := document.Stored{Document: string(text), Author: team, At: d.Now().UTC()}
	value, err := stored.Encode()
	if err != nil {
		return Service{}, err
	}
	o, err := d.write(ctx, name, version, value)
	if errors.Is(err, platform.ErrConflict) {
		return Service{}, d.conflictFailure(ctx, name, string(text))
	}
	if err != nil {
		return Service{}, platformFailure(err)
	}
	return d.publishChange(ctx, name, o, previous)
}

// authorizeChange returns a Failure unless the team owns the service before and
// after the change. It returns the current document, or the zero Service if there
// is none.
func (d *Documents) authorizeChange(ctx context.Context, team, name string, parsed *document.Service) (Service, error) {
	if team != AllTeams && parsed.Team != team {
		return Service{}, &Failure{Status: 403, Reason: ReasonForbidden, Detail: "The key belongs to team " + team + ", the document to team " + parsed.Team + "."}
	}
	current, err := d.Get(ctx, name)
	var f *Failure
	if errors.As(err, &f) && f.Reason == ReasonNotFound {
		return Service{}, nil
	}
	if err != nil {
		return Service{}, err
	}
	return current, checkOwner(current, team)
}

func checkOwner(s Service, team string) error {
	if team != AllTeams && s.Team != team {
		return &Failure{Status: 403, Reason: ReasonForbidden, Detail: "The service belongs to another team."}
	}
	return nil
}

// serviceWithRoute returns the name of another service that has one of the routes.
func (d *Documents) serviceWithRoute(parsed *document.Service) (string, bool) {
	for _, s := range d.Board.Services() {
		if s.Name == parsed.Service {
			continue
		}
		for _, r := range s.Document().Routes {
			if slices.ContainsFunc(parsed.Routes, func(route document.Route) bool { return sameRoute(route, r) }) {
				return s.Name, true
			}
		}
	}
	return "", false
}

// sameRoute reports whether two routes select the same requests. It ignores a
// trailing slash of the paths.
func sameRoute(a, b document.Route) bool {
	return a.Host == b.Host && strings.TrimSuffix(a.Path, "/") == strings.TrimSuffix(b.Path, "/")
}

// write stores a value. If the reply is lost, it reads the object back to determine
// the outcome. The value contains team and time, so an equal value was almost
// certainly stored by this call. If the value is not stored, the first update may
// still take effect later; write sends it again, because the platform accepts only
// one of two conditional updates of the same version.
func (d *Documents) write(ctx context.Context, name string, version uint64, value []byte) (platform.Object, error) {
	key := document.ServicesPrefix + name
	for retried := false; ; retried = true {
		o, err := d.writeOnce(ctx, key, version, value)
		if err == nil || !retried && !errors.Is(err, platform.ErrUnknownOutcome) {
			return o, err
		}
		current, getErr := d.Store.Get(ctx, key)
		switch {
		case getErr == nil && string(current.Value) == string(value):
			return current, nil
		case getErr == nil && current.Version != version, errors.Is(getErr, platform.ErrNotFound) && version != 0:
			return platform.Object{}, platform.ErrConflict
		case getErr != nil && !errors.Is(getErr, platform.ErrNotFound), retried:
			return platform.Object{}, platform.ErrUnknownOutcome
		}
	}
}

func (d *Documents) writeOnce(ctx context.Context, key string, version uint64, value []byte) (platform.Object, error) {
	if version == 0 {
		return d.Store.Create(ctx, key, value)
	}
	return d.Store.Update(ctx, key, version, value)
}

// remove deletes a version. It handles a lost reply like write.
func (d *Documents) remove(ctx context.Context, name string, version uint64) error {
	key := document.ServicesPrefix + name
	for retried := false; ; retried = true {
		err := d.Store.Delete(ctx, key, version)
		if err == nil || !retried && !errors.Is(err, platform.ErrUnknownOutcome) {
			return err
		}
		current, getErr := d.Store.Get(ctx, key)
		switch {
		case errors.Is(getErr, platform.ErrNotFound):
			return nil
		case getErr == nil && current.Version != version:
			return platform.ErrConflict
		case getErr != nil, retried:
			return platform.ErrUnknownOutcome
		}
	}
}

// publishChange publishes a stored change and appends it to the history. A failed
// append does not undo the change; the next change adds the missing entry.
func (d *Documents) publishChange(ctx context.Context, name string, o platform.Object, previous Service) (Service, error) {
	d.Publish(o)
	s, err := serviceFromObject(name, o)
	if err != nil {
		return s, err
	}
	entry := history.Entry{Version: s.Version, Time: s.At, Author: s.Author, Document: s.Document, Previous: previous.Version}
	if err := d.History.Append(ctx, name, entry, previous.Document); err != nil {
		d.Log.Warn().Str("service", name).Uint64("version", s.Version).Err(err).Msg("admin: change accepted, but its history entry was not stored")
	}
	return s, nil
}

func (d *Documents) conflictFailure(ctx context.Context, name, submitted string) error {
	f := &Failure{Status: 409, Reason: ReasonConflict, Detail: "The document was changed meanwhile; nothing was overwritten.", Submitted: submitted}
	current, err := d.Get(ctx, name)
	if err != nil {
		f.Detail += " The present document could not be read."
		return f
	}
	f.Current = &current
	f.Difference = Diff(current.Document, submitted, "in force", "yours")
	return f
}

// Delete removes a document if it is at the given version.
func (d *Documents) Delete(ctx context.Context, team, name string, version uint64) error {
	current, err := d.Get(ctx, name)
	if err != nil {
		return err
	}
	if err := checkOwner(current, team); err != nil {
		return err
	}
	if err := d.remove(ctx, name, version); err != nil {
		if errors.Is(err, platform.ErrConflict) {
			return d.conflictFailure(ctx, name, "")
		}
		return platformFailure(err)
	}
	return nil
}

// Diff returns a unified diff, or an empty string for equal texts.
func Diff(from, to, fromName, toName string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(strings.TrimRight(from, "\n")), B: difflib.SplitLines(strings.TrimRight(to, "\n")),
		FromFile: fromName, ToFile: toName, Context: 2,
	})
	if err != nil {
		return ""
	}
	return text
}

func platformFailure(err error) error {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return &Failure{Status: 404, Reason: ReasonNotFound, Detail: "No such service."}
	case errors.Is(err, platform.ErrUnknownOutcome):
		return &Failure{Status: 502, Reason: ReasonUnknownOutcome, Detail: "The platform did not say whether the change was stored; read the document to see."}
	default:
		return &Failure{Status: 503, Reason: ReasonPlatformUnavailable, Detail: "The platform does not answer; nothing was changed. Documents stay in force."}
	}
}
