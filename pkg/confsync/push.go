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
	// fanout is how many copies a daemon sends of a push. In a domain of 320
	// daemons each receiver then passes it on to at most 19 others.
	fanout = 16
	// relayStandIns is how many daemons of another domain are tried when none of
	// its relays answers.
	relayStandIns = 2
	// gossipFanout is how many daemons of the domain get what a daemon learned
	// from a digest comparison. With 3 a change reaches all but a few percent
	// of a domain without the relays; the rest follow by comparison.
	gossipFanout = 3
	// gossipObjects is how many objects are passed on in this way. A daemon
	// that learns more was cut off or has started, and its peers hold them.
	gossipObjects = 16
)

// handleObjects applies pushed objects and passes the new ones on. Objects
// that are not new are not passed on, which ends every loop. Those with a list
// of daemons to forward to are always passed on: the lists only get shorter, and
// when the pushes of two relays cross, each would otherwise leave a daemon to
// the other.
func (s *Syncer) handleObjects(body []byte) error {
	var m objectsMessage
	if err := decode(body, &m); err != nil {
		return err
	}
	if err := checkObjects(m.Objects, s.config.Prefixes); err != nil {
		return err
	}
	if err := checkAddresses(m.Forward); err != nil {
		return err
	}
	if m.Spread >= spreadEnd {
		return errors.Wrapf(errMessage, "spread %d", m.Spread)
	}
	applied := s.config.Replica.applyAll(m.Objects)
	if m.Spread == spreadForward {
		s.pushTree(m.Forward, s.heldCopies(m.Objects))
		return nil
	}
	if len(applied) == 0 {
		return nil
	}
	switch m.Spread {
	case spreadDomain:
		s.pushDomain(applied)
	case spreadGossip:
		s.gossip(applied)
	}
	return nil
}

// heldCopies returns the copies held of the given objects, which may be newer.
func (s *Syncer) heldCopies(objects []platform.Object) []platform.Object {
	out := make([]platform.Object, len(objects))
	for i, o := range objects {
		out[i], _ = s.config.Replica.held(o.Key)
	}
	return out
}

// pushAll sends objects that came from the platform to the own domain and to
// one relay of each other domain.
func (s *Syncer) pushAll(objects []platform.Object) {
	s.pushDomains(objects)
	s.pushDomain(objects)
}

// pushDomains sends objects to one relay of each other domain.
func (s *Syncer) pushDomains(objects []platform.Object) {
	if len(objects) == 0 {
		return
	}
	_, other := s.others()
	s.shuffle(other)
	domains := map[string][]Peer{}
	for _, p := range other {
		domains[p.Domain] = append(domains[p.Domain], p)
	}
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		s.pushRelay(domain, domains[domain], objects)
	}
}

// pushDomain sends objects to all daemons of the own domain.
func (s *Syncer) pushDomain(objects []platform.Object) {
	if len(objects) > 0 {
		s.pushTree(s.domainAddresses(), objects)
	}
}

// domainAddresses returns the other daemons of the own domain, in random order.
func (s *Syncer) domainAddresses() []string {
	own, _ := s.others()
	s.shuffle(own)
	addresses := make([]string, len(own))
	for i, p := range own {
		addresses[i] = p.Address
	}
	return addresses
}

// pushRelay sends objects to one relay of another domain. When none answers, a
// few of its other daemons take the place of the relay.
func (s *Syncer) pushRelay(domain string, peers []Peer, objects []platform.Object) {
	candidates := append(slices.Clone(s.config.Relays(domain)), peers[:min(relayStandIns, len(peers))]...)
	s.spawn(func() {
		if s.config.Thrifty && !sleep.For(s.background, offerDelay) {
			return
		}
		for _, p := range candidates {
			wanted := objects
			if s.config.Thrifty {
				var err error
				if wanted, err = s.offer(p.Address, objects); err != nil {
					s.pushFailed(p.Address, err)
					continue
				}
			}
			if len(wanted) == 0 || s.send(p.Address, wanted, spreadDomain, nil) {
				return
			}
		}
	})
}

// offerDelay is how long a thrifty relay waits before it offers changes to
// another domain, whose own relay mostly learns of them at the same moment.
const offerDelay = 300 * time.Millisecond

// offer asks a daemon which of the objects it lacks, and returns those.
func (s *Syncer) offer(to string, objects []platform.Object) ([]platform.Object, error) {
	var wanted []platform.Object
	for len(objects) > 0 {
		part := objects[:min(len(objects), versionsPerMessage)]
		objects = objects[len(part):]
		var m offerMessage
		for _, o := range part {
			m.Versions = append(m.Versions, Version{Key: o.Key, Version: o.Version})
		}
		body, err := s.callWithin(s.background, smallCallTimeout, to, KindOffer, m)
		if err != nil {
			return nil, err
		}
		var reply offerReply
		if err := decode(body, &reply); err != nil {
			return nil, err
		}
		for _, o := range part {
			if slices.Contains(reply.Wanted, o.Key) {
				wanted = append(wanted, o)
			}
		}
	}
	return wanted, nil
}

func (s *Syncer) handleOffer(body []byte) ([]byte, error) {
	var m offerMessage
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	var reply offerReply
	for _, v := range m.Versions {
		if !validKey(v.Key, s.config.Prefixes) {
			return nil, errors.Wrapf(errMessage, "key %.64q", v.Key)
		}
		if held, _ := s.config.Replica.held(v.Key); held.Version < v.Version {
			reply.Wanted = append(reply.Wanted, v.Key)
		}
	}
	return encode(reply)
}

func (s *Syncer) pushFailed(to string, err error) {
	s.pushErrors.Add(1)
	s.config.Log.Debug().Err(err).Str("peer", to).Msg("confsync: push failed")
}

// gossip sends objects to a few random daemons of the own domain.
func (s *Syncer) gossip(objects []platform.Object) {
	if len(objects) == 0 || len(objects) > gossipObjects || !s.Ready() {
		return
	}
	own, _ := s.others()
	s.shuffle(own)
	for _, p := range own[:min(gossipFanout, len(own))] {
		s.spawn(func() { s.send(p.Address, objects, spreadGossip, nil) })
	}
}

// pushTree sends objects to the addresses: the first of each group gets them
// with the rest of the group to pass them on to.
func (s *Syncer) pushTree(addresses []string, objects []platform.Object) {
	s.eachGroup(addresses, func(head string, rest []string) bool {
		return s.send(head, objects, spreadForward, rest)
	})
}

// eachGroup splits the addresses into groups and has reach call the first of each,
// with the rest of its group. When it does not answer, the next takes its place.
func (s *Syncer) eachGroup(addresses []string, reach func(head string, rest []string) bool) {
	for _, group := range groups(addresses, fanout) {
		s.spawn(func() {
			for i, head := range group {
				if reach(head, group[i+1:]) {
					return
				}
			}
		})
	}
}

// send sends objects to one daemon and says whether it answered.
func (s *Syncer) send(to string, objects []platform.Object, how spread, forward []string) bool {
	for _, batch := range batches(objects) {
		m := objectsMessage{Objects: batch, Spread: how, Forward: forward}
		if _, err := s.call(s.background, to, KindObjects, m); err != nil {
			s.pushFailed(to, err)
			return false
		}
	}
	return true
}

func (s *Syncer) spawn(task func()) {
	if !s.config.Spawn(task) {
		s.dropped.Add(1)
	}
}

// groups splits addresses into at most n groups whose sizes differ by at most one.
func groups(addresses []string, n int) [][]string {
	n = min(n, len(addresses))
	out := make([][]string, 0, n)
	for i := range n {
		from, to := i*len(addresses)/n, (i+1)*len(addresses)/n
		out = append(out, addresses[from:to])
	}
	return out
}
