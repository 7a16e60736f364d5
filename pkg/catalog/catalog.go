// Package catalog applies replicated platform objects to the blackboard: service
// documents, configurations, ejection records and members.
//
// Register Stage as the change callback of the replica and Flush as its batch callback.
// Changes of one key arrive in the order of their versions. The blackboard also rejects older versions, so that
// no state in force is ever reverted.
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
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/document"
	"shallotglade/pkg/ejection"
	"shallotglade/pkg/panics"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/registration"
	"shallotglade/pkg/telemetry"
)

// EjectionsPrefix is the key prefix of ejection records.
const EjectionsPrefix = "ejections/"

// Prefixes returns the key prefixes that the catalog needs if each service has its
// own document.
func Prefixes() []string {
	return []string{document.ServicesPrefix, EjectionsPrefix, platform.MembersPrefix}
}

// ConfigurationPrefixes returns the key prefixes that the catalog needs if one
// configuration contains all services and daemons register themselves.
func ConfigurationPrefixes() []string {
	return []string{document.ConfigurationsPrefix, platform.MembersPrefix, platform.DaemonsPrefix}
}

// ConfigurationDecoder decodes the value of a replicated configuration.
type ConfigurationDecoder func(value []byte) (*document.Configuration, error)

// Catalog applies changed platform objects to a board.
type Catalog struct {
	board   *blackboard.Board
	log     zerolog.Logger
	metrics *telemetry.Metrics

	decodeConfiguration ConfigurationDecoder
	originOf            OriginOf

	// upstreamsMu keeps lists of upstreams in the order in which they were built,
	// until they are applied. flushMu does the same for lists of daemons.
	upstreamsMu, flushMu sync.Mutex

	// configurationMu keeps configurations in the order in which they are put in force.
	configurationMu sync.Mutex
	inForce         configurationInForce

	mu sync.Mutex
	// upstreams maps a service to its members by id.
	upstreams map[string]map[string]platform.Member
	daemons   map[string]platform.Member
	serviceOf map[string]string
	records   map[string]platform.Object
	// staleUpstreams and staleDaemons mark what Flush passes on: by membership, the ids of
	// the changed upstreams, and whether the list of daemons has changed.
	staleUpstreams map[string]map[string]bool
	staleDaemons   bool
	onDaemons      func([]platform.Member)
	onService      func(*blackboard.Service)
	onDaemonEntry  func(platform.Object)
}

// New returns a catalog that writes to board.
func New(board *blackboard.Board, log zerolog.Logger, metrics *telemetry.Metrics) *Catalog {
	return &Catalog{
		board: board, log: log, metrics: metrics, decodeConfiguration: document.DecodeConfiguration,
		originOf:  func(string) (confsync.Origin, time.Duration) { return confsync.Origin{Source: confsync.SourceLocal}, 0 },
		upstreams: map[string]map[string]platform.Member{}, daemons: map[string]platform.Member{},
		serviceOf: map[string]string{}, records: map[string]platform.Object{},
		staleUpstreams: map[string]map[string]bool{},
	}
}

// SetConfigurationDecoder replaces document.DecodeConfiguration. Call it before the first
// Apply or Stage.
func (c *Catalog) SetConfigurationDecoder(decode ConfigurationDecoder) {
	c.decodeConfiguration = decode
}

// OriginOf returns the origin of an object while it is applied, and the time for which the
// copies were out of contact with the relays until then.
type OriginOf func(key string) (confsync.Origin, time.Duration)

// SetOriginOf sets the function whose results are logged with a configuration. Call it before
// the first Apply or Stage.
func (c *Catalog) SetOriginOf(originOf OriginOf) { c.originOf = originOf }

// OnDaemons registers a callback that receives the list of daemons whenever it
// changes. The callback must return quickly.
func (c *Catalog) OnDaemons(f func([]platform.Member)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDaemons = f
}

// OnService registers a callback that receives each service whose document has been
// put in force. The callback must return quickly.
func (c *Catalog) OnService(f func(*blackboard.Service)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onService = f
}

// OnDaemonEntry registers a callback that receives every change of an object under
// platform.DaemonsPrefix. The callback must return quickly.
func (c *Catalog) OnDaemonEntry(f func(platform.Object)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDaemonEntry = f
}

// Daemon returns the member entry of a host's daemon.
func (c *Catalog) Daemon(host string) (platform.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.daemons[host]
	return m, ok
}

// Apply applies a change of an object.
func (c *Catalog) Apply(o platform.Object) {
	c.Stage(o)
	c.Flush()
}

// Flush puts the staged changes of members in force. When it returns, all changes that
// were staged before are in force.
func (c *Catalog) Flush() {
	c.flushMu.Lock()
	defer c.flushMu.Unlock()
	c.mu.Lock()
	changed, daemons := c.staleUpstreams, c.staleDaemons
	c.staleUpstreams, c.staleDaemons = map[string]map[string]bool{}, false
	c.mu.Unlock()
	if daemons {
		c.publishDaemons()
	}
	for _, membership := range slices.Sorted(maps.Keys(changed)) {
		c.updateUpstreams(membership, changed[membership])
	}
}

// Stage applies a change of an object, except that changes of members take effect with
// the next Flush. Rebuilding the lists for each of a thousand members takes a small host
// seconds.
func (c *Catalog) Stage(o platform.Object) {
	switch {
	case strings.HasPrefix(o.Key, document.ServicesPrefix):
		c.applyDocument(strings.TrimPrefix(o.Key, document.ServicesPrefix), o)
	case strings.HasPrefix(o.Key, EjectionsPrefix):
		c.applyRecord(strings.TrimPrefix(o.Key, EjectionsPrefix), o)
	case strings.HasPrefix(o.Key, document.ConfigurationsPrefix):
		c.applyConfiguration(strings.TrimPrefix(o.Key, document.ConfigurationsPrefix), o)
	case strings.HasPrefix(o.Key, platform.MembersPrefix):
		c.applyMember(strings.TrimPrefix(o.Key, platform.MembersPrefix), o)
	case strings.HasPrefix(o.Key, platform.DaemonsPrefix):
		c.applyMember(strings.TrimPrefix(o.Key, platform.DaemonsPrefix), o)
		c.mu.Lock()
		notify := c.onDaemonEntry
		c.mu.Unlock()
		if notify != nil {
			notify(o)
		}
	}
}

func (c *Catalog) applyDocument(name string, o platform.Object) {
	if o.Deleted {
		c.board.RemoveDocument(name)
		c.metrics.DocumentVersion.DeleteLabelValues(name)
		c.metrics.Accounts.Set(float64(c.board.AccountCount()))
		c.log.Info().Str("service", name).Uint64("version", o.Version).Msg("config: document removed")
		return
	}
	stored, err := document.DecodeStored(o.Value)
	if err != nil {
		c.log.Error().Str("service", name).Uint64("version", o.Version).Err(err).Msg("config: document cannot be read; the previous one stays in force")
		return
	}
	d, unknown, err := document.Load([]byte(stored.Document))
	if err != nil || d.Service != name {
		c.log.Error().Str("service", name).Uint64("version", o.Version).Err(err).Msg("config: document is invalid or names another service; the previous one stays in force")
		return
	}
	if len(unknown) > 0 {
		c.log.Warn().Str("service", name).Strs("fields", unknown).Msg("config: document has fields unknown to this version")
	}
	if !c.board.PutDocument(d, o.Version, unknown) {
		return
	}
	c.metrics.DocumentVersion.WithLabelValues(name).Set(float64(o.Version))
	c.metrics.Accounts.Set(float64(c.board.AccountCount()))
	c.log.Info().Str("service", name).Uint64("version", o.Version).Str("author", stored.Author).Msg("config: document in force")
	c.applyPending(d)
}

// applyConfiguration puts a whole configuration in force. A deleted configuration
// stays in force: to remove all routes, operators write a configuration without any.
func (c *Catalog) applyConfiguration(name string, o platform.Object) {
	if o.Deleted {
		c.log.Error().Str("configuration", name).Uint64("version", o.Version).Msg("config: configuration deleted from the store; it stays in force")
		return
	}
	var configuration *document.Configuration
	var err error
	if panicked := panics.Run(panics.Platform, func() {
		if configuration, err = c.decodeConfiguration(o.Value); err == nil {
			err = configuration.Validate()
		}
	}); panicked != nil {
		err = panicked
	}
	if err != nil {
		c.metrics.ConfigurationsRefused.Inc()
		c.log.Error().Str("configuration", name).Uint64("version", o.Version).Err(err).
			Msg("config: configuration cannot be read; the previous one stays in force")
		return
	}
	configuration, ok := c.putConfiguration(configuration, o)
	if !ok {
		return
	}
	c.metrics.ConfigurationVersion.Set(float64(configuration.Version))
	c.metrics.Accounts.Set(float64(len(configuration.Accounts)))
	origin, copyAge := c.originOf(o.Key)
	line := c.log.Info().Str("configuration", name).Uint64("version", o.Version).Uint64("stated", configuration.Version).
		Str("source", string(origin.Source)).Str("from", origin.Peer).Int64("copy_age_ms", copyAge.Milliseconds()).
		Int("routes", len(configuration.Routes)).Int("services", len(configuration.Services))
	if configuration.RequireKeys {
		line.Int("accounts", len(configuration.Accounts))
	}
	line.Msg("config: configuration in force")
	for _, d := range configuration.Services {
		c.applyPending(d)
	}
}

// putConfiguration puts a configuration, or the newer one that stays in its place, in force. It
// returns the one in force, and false if nothing changed.
func (c *Catalog) putConfiguration(configuration *document.Configuration, o platform.Object) (*document.Configuration, bool) {
	c.configurationMu.Lock()
	defer c.configurationMu.Unlock()
	kept := c.inForce.supersedes(configuration, o.Version)
	if kept {
		c.log.Warn().Str("key", o.Key).Uint64("version", o.Version).Uint64("stated", configuration.Version).
			Uint64("kept", c.inForce.configuration.Version).Msg("config: restored store has an older configuration; the newer one stays in force")
		// It takes the version of the older one, so that it counts as what the store holds.
		configuration = c.inForce.configuration
	}
	if !c.board.PutConfiguration(configuration, o.Version) {
		return nil, false
	}
	c.inForce = configurationInForce{configuration, o.Version, kept}
	return configuration, true
}

// applyPending applies the record and the members that arrived before the document of
// a service.
func (c *Catalog) applyPending(d *document.Service) {
	c.mu.Lock()
	record, hasRecord := c.records[d.Service]
	notify := c.onService
	c.mu.Unlock()
	if s, exists := c.board.Service(d.Service); exists && notify != nil {
		notify(s)
	}
	if hasRecord {
		c.setRecord(d.Service, record)
	}
	c.setUpstreams(d.Upstreams.Membership)
}

func (c *Catalog) applyRecord(name string, o platform.Object) {
	c.mu.Lock()
	c.records[name] = o
	c.mu.Unlock()
	c.setRecord(name, o)
}

func (c *Catalog) setRecord(name string, o platform.Object) {
	service, ok := c.board.Service(name)
	if !ok {
		return
	}
	record := ejection.Record{Service: name}
	if !o.Deleted {
		decoded, err := ejection.Decode(o.Value)
		if err != nil {
			c.log.Error().Str("service", name).Uint64("version", o.Version).Err(err).Msg("ejection: record cannot be read; no upstream is excluded")
		} else {
			record = decoded
		}
	}
	service.SetRecord(time.Now(), record, o.Version)
}

func (c *Catalog) applyMember(id string, o platform.Object) {
	var m platform.Member
	if !o.Deleted {
		if err := json.Unmarshal(o.Value, &m); err != nil {
			c.log.Error().Str("member", id).Err(err).Msg("membership: member cannot be read")
			return
		}
		if m.Role == platform.RoleDaemon {
			if err := registration.CheckEntry(id, &m); err != nil {
				c.log.Error().Str("member", id).Uint64("version", o.Version).Err(err).Msg("membership: entry ignored; a previous version stays in force")
				return
			}
		}
		m.Version = o.Version
	}
	c.mu.Lock()
	oldService := c.serviceOf[id]
	delete(c.upstreams[oldService], id)
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
	c.staleDaemons = c.staleDaemons || wasDaemon || m.Role == platform.RoleDaemon
	if oldService != "" {
		c.markStaleLocked(oldService, id)
	}
	if m.Role == platform.RoleUpstream {
		c.markStaleLocked(m.Service, id)
	}
	c.mu.Unlock()
	if m.Role == platform.RoleUpstream {
		c.log.Info().Str("upstream", id).Str("service", m.Service).Str("state", string(m.State)).Str("address", m.Address).
			Uint64("version", o.Version).Msg("membership: upstream listed")
	} else if oldService != "" {
		c.log.Info().Str("upstream", id).Str("service", oldService).Uint64("version", o.Version).Msg("membership: upstream removed")
	}
}

func (c *Catalog) markStaleLocked(membership, id string) {
	if c.staleUpstreams[membership] == nil {
		c.staleUpstreams[membership] = map[string]bool{}
	}
	c.staleUpstreams[membership][id] = true
}

// publishDaemons passes the list of daemons to the callback. The caller holds flushMu: a
// list delivered out of order would restore an entry from before a daemon's restart.
func (c *Catalog) publishDaemons() {
	c.mu.Lock()
	daemons, notify := slices.Collect(maps.Values(c.daemons)), c.onDaemons
	c.mu.Unlock()
	if notify != nil {
		notify(daemons)
	}
}

// wholeListShare is the share of a membership from which on its services get the whole
// list: the cost of a single change is linear in the list, though small.
const wholeListShare = 1.0 / 16

// updateUpstreams passes changed members of a membership to every service whose document
// names that membership.
func (c *Catalog) updateUpstreams(membership string, changed map[string]bool) {
	if membership == "" {
		return
	}
	c.upstreamsMu.Lock()
	defer c.upstreamsMu.Unlock()
	c.mu.Lock()
	if float64(len(changed)) > wholeListShare*float64(len(c.upstreams[membership])) {
		list := c.upstreamsLocked(membership)
		c.mu.Unlock()
		c.eachService(membership, func(s *blackboard.Service) { s.SetUpstreams(time.Now(), list) })
		return
	}
	listed, removed := make([]blackboard.Upstream, 0, len(changed)), []string(nil)
	for id := range changed {
		if m, ok := c.upstreams[membership][id]; ok {
			listed = append(listed, upstreamOf(m))
		} else {
			removed = append(removed, id)
		}
	}
	c.mu.Unlock()
	c.eachService(membership, func(s *blackboard.Service) { s.UpdateUpstreams(time.Now(), listed, removed) })
}

// setUpstreams sets the members of a membership as upstreams of every service whose
// document names that membership.
func (c *Catalog) setUpstreams(membership string) {
	if membership == "" {
		return
	}
	c.upstreamsMu.Lock()
	defer c.upstreamsMu.Unlock()
	c.mu.Lock()
	list := c.upstreamsLocked(membership)
	c.mu.Unlock()
	c.eachService(membership, func(s *blackboard.Service) { s.SetUpstreams(time.Now(), list) })
}

func (c *Catalog) upstreamsLocked(membership string) []blackboard.Upstream {
	list := make([]blackboard.Upstream, 0, len(c.upstreams[membership]))
	for _, m := range c.upstreams[membership] {
		list = append(list, upstreamOf(m))
	}
	return list
}

func upstreamOf(m platform.Member) blackboard.Upstream {
	return blackboard.Upstream{
		ID: m.ID, Address: m.Address, Domain: m.Domain, Slots: m.Slots, Leaving: m.State == platform.Leaving,
		Incarnation: m.Incarnation, WarmUp: time.Duration(m.WarmUpMs) * time.Millisecond,
	}
}

// eachService calls f for every service whose document names the membership.
func (c *Catalog) eachService(membership string, f func(*blackboard.Service)) {
	for _, s := range c.board.ServicesInUse() {
		if s.Document().Upstreams.Membership == membership {
			f(s)
		}
	}
}
