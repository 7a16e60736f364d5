package confsync

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/sleep"
	"shallotglade/pkg/platform"
)

const (
	// fanout is the number of copies of a push that a daemon sends. In a domain of
	// 320 daemons each receiver then forwards it to at most 19 others.
	fanout = 16
	// forwarderTimeout is how long the forwarder of a group has to answer before
	// others replace it, the same as for other small calls. With the full call
	// timeout, daemons behind a killed forwarder got a change 0.8 s after the others:
	// a third of the time within which they must know that an upstream leaves.
	forwarderTimeout = smallCallTimeout
	// smallPushBytes is the maximum size of a small push. Its transfer takes a fifth
	// of forwarderTimeout on the slowest links, of 10 Mbit/s.
	smallPushBytes = 64 << 10
	// fallbackFanout is the number of daemons of a group that replace a forwarder
	// that does not answer. Trying one after the other would take too long when half
	// of a large domain is killed.
	fallbackFanout = 4
	// relayFallbacks is the number of daemons of another domain that are tried when
	// none of its relays answers. With half of a domain killed, all of them are dead
	// in one of 256 cases, and the relays of several domains choose independently.
	relayFallbacks = 8
	// gossipFanout is the number of daemons of the domain to which a daemon sends
	// objects that it got from a digest comparison. With 3, a change reaches all
	// but a few percent of a domain without the relays; the rest get it by
	// comparison.
	gossipFanout = 3
	// maxGossipObjects limits the objects forwarded by gossip. A daemon that gets
	// more was partitioned or has just started, and its peers hold them already.
	maxGossipObjects = 16
)

// handleObjects applies pushed objects and forwards them. Without a list of
// daemons, only new objects are forwarded, which prevents forwarding loops. With
// a list, all objects are forwarded: the lists only get shorter, and a daemon
// could otherwise miss the pushes of two relays when each forwarder already has
// the object from the other push.
func (s *Syncer) handleObjects(from string, body []byte) error {
	var m objectsMessage
	if err := decode(body, &m); err != nil {
		return err
	}
	if err := unpack(m.Packed, &m.Objects); err != nil {
		return err
	}
	if err := checkObjects(m.Objects, s.config.Prefixes); err != nil {
		return err
	}
	if err := checkAddresses(m.Forward); err != nil {
		return err
	}
	if m.Propagation >= propagationEnd {
		return errors.Wrapf(errInvalidMessage, "spread %d", m.Propagation)
	}
	applied := s.config.Replica.applyAll(Origin{Source: SourcePush, Peer: from}, m.Objects)
	if m.Propagation == propagateToList {
		s.forwardObjects(m)
		return nil
	}
	if len(applied) == 0 {
		return nil
	}
	switch m.Propagation {
	case propagateToDomain:
		s.pushOwnDomain(applied)
	case propagateByGossip:
		s.gossip(applied)
	}
	return nil
}

// forwardObjects sends the objects of a message on to its list of daemons, without
// compressing them again unless a local copy is newer.
func (s *Syncer) forwardObjects(m objectsMessage) {
	if len(m.Forward) == 0 {
		return
	}
	copies := s.currentCopies(m.Objects)
	if m.Packed != nil && slices.EqualFunc(copies, m.Objects, func(a, b platform.Object) bool { return a.Version == b.Version }) {
		s.pushParcels(m.Forward, []parcel{{objects: copies, packed: m.Packed}})
		return
	}
	s.pushTree(m.Forward, copies)
}

// currentCopies returns the local copies of the given objects, which may be newer.
func (s *Syncer) currentCopies(objects []platform.Object) []platform.Object {
	out := make([]platform.Object, len(objects))
	for i, o := range objects {
		out[i], _ = s.config.Replica.lookup(o.Key)
	}
	return out
}

// pushAll sends objects from the platform to this daemon's domain and to one relay
// of each other domain.
func (s *Syncer) pushAll(objects []platform.Object) {
	s.pushOtherDomains(objects)
	s.pushOwnDomain(objects)
}

// pushOtherDomains sends objects to one relay of each other domain.
func (s *Syncer) pushOtherDomains(objects []platform.Object) {
	if len(objects) == 0 {
		return
	}
	_, otherDomains := s.otherPeers()
	s.shuffle(otherDomains)
	peersByDomain := map[string][]Peer{}
	for _, p := range otherDomains {
		peersByDomain[p.Domain] = append(peersByDomain[p.Domain], p)
	}
	for _, domain := range slices.Sorted(maps.Keys(peersByDomain)) {
		s.pushToRelay(domain, peersByDomain[domain], objects)
	}
}

// pushOwnDomain sends objects to all other daemons of this daemon's domain.
func (s *Syncer) pushOwnDomain(objects []platform.Object) {
	if len(objects) > 0 {
		s.pushTree(s.ownDomainAddresses(), objects)
	}
}

// ownDomainAddresses returns the addresses of the other daemons of this daemon's
// domain, in random order.
func (s *Syncer) ownDomainAddresses() []string {
	sameDomain, _ := s.otherPeers()
	s.shuffle(sameDomain)
	addresses := make([]string, len(sameDomain))
	for i, p := range sameDomain {
		addresses[i] = p.Address
	}
	return addresses
}

// pushToRelay sends objects to one relay of another domain. If no relay answers, it
// tries a few other daemons of the domain.
func (s *Syncer) pushToRelay(domain string, peers []Peer, objects []platform.Object) {
	relays := s.config.Relays(domain)
	peers = slices.DeleteFunc(peers, func(p Peer) bool { return slices.Contains(relays, p) })
	fallbacks := peers[:min(relayFallbacks, len(peers))]
	s.spawn(func() {
		if !s.config.ReduceTraffic {
			parcels := newParcels(objects)
			for _, p := range append(slices.Clone(relays), fallbacks...) {
				if s.send(p.Address, parcels, propagateToDomain, nil, s.pushTimeout(parcels)) {
					return
				}
			}
			return
		}
		if !sleep.For(s.backgroundCtx, offerDelay) {
			return
		}
		for _, p := range relays {
			if result, ok := s.offerAny([]Peer{p}, objects); ok && result.established {
				return
			}
		}
		s.offerToFallbacks(fallbacks, objects)
	})
}

// offerToFallbacks offers objects to daemons of a domain whose relays do not answer, or
// have just become relays and may not reach their domain yet. A daemon that already has
// the objects from a comparison has forwarded them to only a few daemons. It is therefore
// asked to compare its replica with its whole domain.
func (s *Syncer) offerToFallbacks(fallbacks []Peer, objects []platform.Object) {
	result, ok := s.offerAny(fallbacks, objects)
	if !ok || len(result.wanted) > 0 {
		return
	}
	if _, err := s.call(s.backgroundCtx, result.peer, KindCompare, compareMessage{}); err != nil {
		s.recordPushFailure(result.peer, err)
	}
}

// offerResult is the result of an offer to one daemon.
type offerResult struct {
	peer        string
	wanted      []platform.Object
	established bool
	err         error
}

// offerAny offers objects to several peers concurrently and sends the first one that
// answers the objects that it lacks. It returns the result and whether a peer answered.
func (s *Syncer) offerAny(peers []Peer, objects []platform.Object) (offerResult, bool) {
	results := make(chan offerResult, len(peers))
	for _, p := range peers {
		task := func() { results <- s.offer(p.Address, objects) }
		if !s.config.Spawn(task) {
			task()
		}
	}
	for range peers {
		result := <-results
		if result.err != nil {
			s.recordPushFailure(result.peer, result.err)
			continue
		}
		if s.send(result.peer, newParcels(result.wanted), propagateToDomain, nil, s.config.CallTimeout) {
			return result, true
		}
	}
	return offerResult{}, false
}

// offerDelay is how long a relay in reduced-traffic mode waits before it offers changes to
// another domain, whose relay usually gets them from the platform at the same time.
const offerDelay = 300 * time.Millisecond

// offer asks a daemon which of the given objects it lacks.
func (s *Syncer) offer(to string, objects []platform.Object) offerResult {
	result := offerResult{peer: to}
	for len(objects) > 0 {
		part := objects[:min(len(objects), versionsPerMessage)]
		objects = objects[len(part):]
		var m offerMessage
		for _, o := range part {
			m.Versions = append(m.Versions, versionOf(o))
		}
		m.Versions, m.Packed = packVersions(m.Versions)
		var body []byte
		if body, result.err = s.callWithTimeout(s.backgroundCtx, smallCallTimeout, to, KindOffer, m); result.err != nil {
			return result
		}
		var reply offerReply
		if result.err = decode(body, &reply); result.err != nil {
			return result
		}
		result.established = reply.Established
		for _, o := range part {
			if slices.Contains(reply.Wanted, o.Key) {
				result.wanted = append(result.wanted, o)
			}
		}
	}
	return result
}

func (s *Syncer) handleOffer(body []byte) ([]byte, error) {
	var m offerMessage
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	if err := unpack(m.Packed, &m.Versions); err != nil {
		return nil, err
	}
	reply := offerReply{Established: s.established.Load()}
	for _, v := range m.Versions {
		if !validKey(v.Key, s.config.Prefixes) {
			return nil, errors.Wrapf(errInvalidMessage, "key %.64q", v.Key)
		}
		if current, _ := s.config.Replica.lookup(v.Key); !holds(current, v) {
			reply.Wanted = append(reply.Wanted, v.Key)
		}
	}
	return encode(reply)
}

func (s *Syncer) recordPushFailure(to string, err error) {
	s.pushErrors.Add(1)
	s.config.Log.Debug().Err(err).Str("peer", to).Msg("confsync: push failed")
}

// gossip sends objects to a few random daemons of this daemon's domain.
func (s *Syncer) gossip(objects []platform.Object) {
	if len(objects) == 0 || len(objects) > maxGossipObjects || !s.Ready() {
		return
	}
	sameDomain, _ := s.otherPeers()
	s.shuffle(sameDomain)
	parcels := newParcels(objects)
	for _, p := range sameDomain[:min(gossipFanout, len(sameDomain))] {
		s.spawn(func() { s.send(p.Address, parcels, propagateByGossip, nil, s.config.CallTimeout) })
	}
}

// pushTree sends objects to the addresses: the first daemon of each group gets
// them and forwards them to the rest of the group.
func (s *Syncer) pushTree(addresses []string, objects []platform.Object) {
	if len(addresses) > 0 {
		s.pushParcels(addresses, newParcels(objects))
	}
}

func (s *Syncer) pushParcels(addresses []string, parcels []parcel) {
	t := treeCall{
		timeout: s.pushTimeout(parcels),
		forward: func(forwarder string, rest []string, timeout time.Duration) bool {
			return s.send(forwarder, parcels, propagateToList, rest, timeout)
		},
		retry: func(forwarder string) { s.send(forwarder, parcels, propagateToList, nil, s.config.CallTimeout) },
	}
	s.callForwarders(t, splitIntoGroups(addresses, fanout))
}

// pushTimeout returns how long the receiver of a push has to answer before others
// replace it.
func (s *Syncer) pushTimeout(parcels []parcel) time.Duration {
	size := 0
	for _, p := range parcels {
		if p.packed != nil {
			size += len(p.packed)
			continue
		}
		for _, o := range p.objects {
			size += objectSize(o)
		}
	}
	if size > smallPushBytes {
		return s.config.CallTimeout
	}
	return forwarderTimeout
}

// treeCall defines a call that reaches many daemons through a few forwarders.
type treeCall struct {
	// timeout limits the first call to a daemon.
	timeout time.Duration
	// forward calls the first daemon of a group, which then calls the rest of it, and
	// reports whether the first daemon answered.
	forward func(forwarder string, rest []string, timeout time.Duration) bool
	// retry calls a daemon again that did not answer. The first call may have used a
	// stale connection to an earlier process on that host.
	retry func(forwarder string)
}

// callForwarders calls the first daemon of each group. If it does not answer, a few
// others of the group replace it, and it is called again.
func (s *Syncer) callForwarders(t treeCall, groups [][]string) {
	for _, group := range groups {
		s.spawn(func() {
			forwarder, rest := group[0], group[1:]
			if !t.forward(forwarder, rest, t.timeout) {
				s.callForwarders(t, splitIntoGroups(rest, fallbackFanout))
				t.retry(forwarder)
			}
		})
	}
}

// send sends objects to one daemon and reports whether it answered. timeout limits each
// message.
func (s *Syncer) send(to string, parcels []parcel, mode propagation, forward []string, timeout time.Duration) bool {
	for _, p := range parcels {
		if _, err := s.callWithTimeout(s.backgroundCtx, timeout, to, KindObjects, p.message(mode, forward)); err != nil {
			s.recordPushFailure(to, err)
			return false
		}
	}
	return true
}

func (s *Syncer) spawn(task func()) {
	if !s.config.Spawn(task) {
		s.droppedPushes.Add(1)
	}
}

// splitIntoGroups splits addresses into at most n groups whose sizes differ by at most one.
func splitIntoGroups(addresses []string, n int) [][]string {
	n = min(n, len(addresses))
	out := make([][]string, 0, n)
	for i := range n {
		start, end := i*len(addresses)/n, (i+1)*len(addresses)/n
		out = append(out, addresses[start:end])
	}
	return out
}
