// Package catalog puts replicated platform objects in force: service documents,
// ejection records and members become state on the blackboard.
//
// Register Changed with the replica's change callback. Calls for one key come in
// order of version, and the blackboard refuses older versions besides, so that
// nothing in force ever reverts.
package catalog

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
	"shallotglade/pkg/ejection"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/telemetry"
)

// EjectionsPrefix is the prefix of the objects that hold ejection records.
const EjectionsPrefix = "ejections/"

// Prefixes are the prefixes of all objects that the catalog needs where each
// service has a document of its own.
func Prefixes() []string {
	return []string{document.Prefix, EjectionsPrefix, platform.MembersPrefix}
}

// ConfigurationPrefixes are the prefixes of all objects that the catalog needs
// where one configuration holds all services, and daemons enter themselves.
func ConfigurationPrefixes() []string {
	return []string{document.ConfigurationsPrefix, platform.MembersPrefix, platform.DaemonsPrefix}
}

// Catalog applies changed objects to a board.
type Catalog struct {
	board   *blackboard.Board
	log     zerolog.Logger
	metrics *telemetry.Metrics

	// apply keeps lists of upstreams in the order in which they were made, and
	// applyDaemons those of daemons.
	apply, applyDaemons sync.Mutex

	mu sync.Mutex
	// upstreams holds the members of each service by id.
	upstreams map[string]map[string]platform.Member
	daemons   map[string]platform.Member
	serviceOf map[string]string
	records   map[string]platform.Object
	onDaemons func([]platform.Member)
	onService func(*blackboard.Service)
	onEntry   func(platform.Object)
}

// New returns a catalog that writes to board.
func New(board *blackboard.Board, log zerolog.Logger, metrics *telemetry.Metrics) *Catalog {
	return &Catalog{
		board: board, log: log, metrics: metrics,
		upstreams: map[string]map[string]platform.Member{}, daemons: map[string]platform.Member{},
		serviceOf: map[string]string{}, records: map[string]platform.Object{},
	}
}

// OnDaemons registers a callback that gets the list of daemons whenever it
// changes. The callback must be fast.
func (c *Catalog) OnDaemons(f func([]platform.Member)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDaemons = f
}

// OnService registers a callback that gets each service whose document came into
// force. The callback must be fast.
func (c *Catalog) OnService(f func(*blackboard.Service)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onService = f
}

// OnEntry registers a callback that gets every change of a daemon's own entry.
// The callback must be fast.
func (c *Catalog) OnEntry(f func(platform.Object)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onEntry = f
}

// Daemon returns the member of a host's daemon.
func (c *Catalog) Daemon(host string) (platform.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.daemons[host]
	return m, ok
}

// Changed puts an object in force.
func (c *Catalog) Changed(o platform.Object) {
	switch {
	case strings.HasPrefix(o.Key, document.Prefix):
		c.changeDocument(strings.TrimPrefix(o.Key, document.Prefix), o)
	case strings.HasPrefix(o.Key, EjectionsPrefix):
		c.changeRecord(strings.TrimPrefix(o.Key, EjectionsPrefix), o)
	case strings.HasPrefix(o.Key, document.ConfigurationsPrefix):
		c.changeConfiguration(strings.TrimPrefix(o.Key, document.ConfigurationsPrefix), o)
	case strings.HasPrefix(o.Key, platform.MembersPrefix):
		c.changeMember(strings.TrimPrefix(o.Key, platform.MembersPrefix), o)
	case strings.HasPrefix(o.Key, platform.DaemonsPrefix):
		c.changeMember(strings.TrimPrefix(o.Key, platform.DaemonsPrefix), o)
		c.mu.Lock()
		notify := c.onEntry
		c.mu.Unlock()
		if notify != nil {
			notify(o)
		}
	}
}

func (c *Catalog) changeDocument(name string, o platform.Object) {
	if o.Deleted {
		c.board.RemoveDocument(name)
		c.metrics.DocumentVersion.DeleteLabelValues(name)
		c.log.Info().Str("service", name).Uint64("version", o.Version).Msg("config: document removed")
		return
	}
	stored, err := document.DecodeStored(o.Value)
	if err != nil {
		c.log.Error().Str("service", name).Uint64("version", o.Version).Err(err).Msg("config: document cannot be read; the former one stays in force")
		return
	}
	d, unknown, err := document.Load([]byte(stored.Document))
	if err != nil || d.Service != name {
		c.log.Error().Str("service", name).Uint64("version", o.Version).Err(err).Msg("config: document is not valid here; the former one stays in force")
		return
	}
	if len(unknown) > 0 {
		c.log.Warn().Str("service", name).Strs("fields", unknown).Msg("config: document has fields that this version does not know")
	}
	if !c.board.PutDocument(d, o.Version, unknown) {
		return
	}
	c.metrics.DocumentVersion.WithLabelValues(name).Set(float64(o.Version))
	c.log.Info().Str("service", name).Uint64("version", o.Version).Str("author", stored.Author).Msg("config: document in force")
	c.afterDocument(d)
}

// changeConfiguration puts a whole configuration in force. A deleted one stays
// in force: operators who want no routes write a configuration without any.
func (c *Catalog) changeConfiguration(name string, o platform.Object) {
	if o.Deleted {
		c.log.Error().Str("configuration", name).Uint64("version", o.Version).Msg("config: configuration was deleted; it stays in force")
		return
	}
	configuration, err := document.DecodeConfiguration(o.Value)
	if err != nil {
		c.metrics.ConfigurationsRefused.Inc()
		c.log.Error().Str("configuration", name).Uint64("version", o.Version).Err(err).
			Msg("config: configuration cannot be read; the former one stays in force")
		return
	}
	if !c.board.PutConfiguration(configuration, o.Version) {
		return
	}
	c.metrics.ConfigurationVersion.Set(float64(configuration.Version))
	c.log.Info().Str("configuration", name).Uint64("version", o.Version).Uint64("stated", configuration.Version).
		Int("routes", len(configuration.Routes)).Int("services", len(configuration.Services)).Msg("config: configuration in force")
	for _, d := range configuration.Services {
		c.afterDocument(d)
	}
}

// afterDocument gives a service that is new here what arrived before it.
func (c *Catalog) afterDocument(d *document.Service) {
	c.mu.Lock()
	record, ok := c.records[d.Service]
	notify := c.onService
	c.mu.Unlock()
	if s, here := c.board.Service(d.Service); here && notify != nil {
		notify(s)
	}
	if ok {
		c.putRecord(d.Service, record)
	}
	c.putUpstreams(d.Upstreams.Membership)
}

func (c *Catalog) changeRecord(name string, o platform.Object) {
	c.mu.Lock()
	c.records[name] = o
	c.mu.Unlock()
	c.putRecord(name, o)
}

func (c *Catalog) putRecord(name string, o platform.Object) {
	service, ok := c.board.Service(name)
	if !ok {
		return
	}
	record := ejection.Record{Service: name}
	if !o.Deleted {
		decoded, err := ejection.Decode(o.Value)
		if err != nil {
			c.log.Error().Str("service", name).Uint64("version", o.Version).Err(err).Msg("ejection: record cannot be read and excludes nothing")
		} else {
			record = decoded
		}
	}
	service.SetRecord(time.Now(), record, o.Version)
}

func (c *Catalog) changeMember(id string, o platform.Object) {
	var m platform.Member
	if !o.Deleted {
		if err := json.Unmarshal(o.Value, &m); err != nil {
			c.log.Error().Str("member", id).Err(err).Msg("membership: member cannot be read")
			return
		}
		m.Version = o.Version
	}
	c.mu.Lock()
	before := c.serviceOf[id]
	delete(c.upstreams[before], id)
	delete(c.serviceOf, id)
	_, wasDaemon := c.daemons[id]
	delete(c.daemons, id)
	switch {
	case o.Deleted:
	case m.Role == platform.RoleDaemon:
		c.daemons[id] = m
	case m.Role == platform.RoleUpstream:
		if c.upstreams[m.Service] == nil {
			c.upstreams[m.Service] = map[string]platform.Member{}
		}
		c.upstreams[m.Service][id] = m
		c.serviceOf[id] = m.Service
	}
	c.mu.Unlock()
	if wasDaemon || m.Role == platform.RoleDaemon {
		c.putDaemons()
	}
	if before != "" && before != m.Service {
		c.putUpstreams(before)
	}
	if m.Role == platform.RoleUpstream {
		c.log.Info().Str("upstream", id).Str("service", m.Service).Str("state", string(m.State)).Str("address", m.Address).
			Uint64("version", o.Version).Msg("membership: upstream listed")
		c.putUpstreams(m.Service)
	} else if before != "" {
		c.log.Info().Str("upstream", id).Str("service", before).Uint64("version", o.Version).Msg("membership: upstream gone from the list")
	}
}

// putDaemons hands on the list of daemons. Changes of several entries come at the same
// time, and a list that is handed on late would bring back a former start.
func (c *Catalog) putDaemons() {
	c.applyDaemons.Lock()
	defer c.applyDaemons.Unlock()
	c.mu.Lock()
	daemons, notify := slices.Collect(maps.Values(c.daemons)), c.onDaemons
	c.mu.Unlock()
	if notify != nil {
		notify(daemons)
	}
}

// putUpstreams gives the members of a membership name to the services that find
// their upstreams there.
func (c *Catalog) putUpstreams(membership string) {
	if membership == "" {
		return
	}
	c.apply.Lock()
	defer c.apply.Unlock()
	c.mu.Lock()
	list := make([]blackboard.Upstream, 0, len(c.upstreams[membership]))
	for _, m := range c.upstreams[membership] {
		list = append(list, blackboard.Upstream{
			ID: m.ID, Address: m.Address, Domain: m.Domain, Slots: m.Slots, Leaving: m.State == platform.Leaving,
			Incarnation: m.Incarnation, WarmUp: time.Duration(m.WarmUpMs) * time.Millisecond,
		})
	}
	c.mu.Unlock()
	for _, s := range c.board.Services() {
		if s.Document().Upstreams.Membership == membership {
			s.SetUpstreams(time.Now(), list)
		}
	}
}
