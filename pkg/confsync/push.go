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
	// headTimeout is how long the head of a group has to answer before others are
	// called in its place: as long as for other small calls. When heads had the whole
	// call timeout, the daemons behind one that was killed had a change 0.8 s after the
	// others, a third of the time within which an upstream's leaving must be known.
	headTimeout = smallCallTimeout
	// smallPushBytes is up to how many bytes a push is small: they take a fifth of
	// headTimeout on the slowest links, of 10 Mbit/s.
	smallPushBytes = 64 << 10
	// standInFanout is how many of a group take the place of a head that does not
	// answer: with half of a large domain killed, one after the other would take long.
	standInFanout = 4
	// relayStandIns is how many daemons of another domain are tried when none of
	// its relays answers. With half of a domain killed all of them are dead once in
	// 256 times, and the relays of several domains choose independently.
	relayStandIns = 8
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

// pushRelay sends objects to one relay of another domain. When none answers, one of a
// few of its other daemons takes the place of the relay.
func (s *Syncer) pushRelay(domain string, peers []Peer, objects []platform.Object) {
	relays := s.config.Relays(domain)
	peers = slices.DeleteFunc(peers, func(p Peer) bool { return slices.Contains(relays, p) })
	standIns := peers[:min(relayStandIns, len(peers))]
	s.spawn(func() {
		if !s.config.Thrifty {
			for _, p := range append(slices.Clone(relays), standIns...) {
				if s.send(p.Address, objects, spreadDomain, nil, s.pushTimeout(objects)) {
					return
				}
			}
			return
		}
		if !sleep.For(s.background, offerDelay) {
			return
		}
		for _, p := range relays {
			if a, ok := s.offerAny([]Peer{p}, objects); ok && a.settled {
				return
			}
		}
		s.offerStandIns(standIns, objects)
	})
}

// offerStandIns offers objects to daemons of a domain whose relays do not answer, or
// have just taken their role and may not reach their domain yet. One that holds them
// already has passed them on to a few daemons only, as whoever learns something by a
// comparison, and is asked to compare copies with its whole domain.
func (s *Syncer) offerStandIns(standIns []Peer, objects []platform.Object) {
	a, ok := s.offerAny(standIns, objects)
	if !ok || len(a.wanted) > 0 {
		return
	}
	if _, err := s.call(s.background, a.from, KindCompare, compareMessage{}); err != nil {
		s.pushFailed(a.from, err)
	}
}

// offerAnswer is what a daemon said of an offer.
type offerAnswer struct {
	from    string
	wanted  []platform.Object
	settled bool
	err     error
}

// offerAny offers objects to peers at the same time and sends the first that answers
// what it lacks. It returns the answer, and whether there was one.
func (s *Syncer) offerAny(peers []Peer, objects []platform.Object) (offerAnswer, bool) {
	answers := make(chan offerAnswer, len(peers))
	for _, p := range peers {
		task := func() { answers <- s.offer(p.Address, objects) }
		if !s.config.Spawn(task) {
			task()
		}
	}
	for range peers {
		a := <-answers
		if a.err != nil {
			s.pushFailed(a.from, a.err)
			continue
		}
		if s.send(a.from, a.wanted, spreadDomain, nil, s.config.CallTimeout) {
			return a, true
		}
	}
	return offerAnswer{}, false
}

// offerDelay is how long a thrifty relay waits before it offers changes to
// another domain, whose own relay mostly learns of them at the same moment.
const offerDelay = 300 * time.Millisecond

// offer asks a daemon which of the objects it lacks.
func (s *Syncer) offer(to string, objects []platform.Object) offerAnswer {
	a := offerAnswer{from: to}
	for len(objects) > 0 {
		part := objects[:min(len(objects), versionsPerMessage)]
		objects = objects[len(part):]
		var m offerMessage
		for _, o := range part {
			m.Versions = append(m.Versions, Version{Key: o.Key, Version: o.Version})
		}
		var body []byte
		if body, a.err = s.callWithin(s.background, smallCallTimeout, to, KindOffer, m); a.err != nil {
			return a
		}
		var reply offerReply
		if a.err = decode(body, &reply); a.err != nil {
			return a
		}
		a.settled = reply.Settled
		for _, o := range part {
			if slices.Contains(reply.Wanted, o.Key) {
				a.wanted = append(a.wanted, o)
			}
		}
	}
	return a
}

func (s *Syncer) handleOffer(body []byte) ([]byte, error) {
	var m offerMessage
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	reply := offerReply{Settled: s.settled.Load()}
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
		s.spawn(func() { s.send(p.Address, objects, spreadGossip, nil, s.config.CallTimeout) })
	}
}

// pushTree sends objects to the addresses: the first of each group gets them
// with the rest of the group to pass them on to.
func (s *Syncer) pushTree(addresses []string, objects []platform.Object) {
	t := tree{
		timeout: s.pushTimeout(objects),
		reach: func(head string, rest []string, timeout time.Duration) bool {
			return s.send(head, objects, spreadForward, rest, timeout)
		},
		retry: func(head string) { s.send(head, objects, spreadForward, nil, s.config.CallTimeout) },
	}
	s.callHeads(t, groups(addresses, fanout))
}

// pushTimeout is how long the receiver of a push has to answer before another is called
// in its place.
func (s *Syncer) pushTimeout(objects []platform.Object) time.Duration {
	size := 0
	for _, o := range objects {
		size += objectSize(o)
	}
	if size > smallPushBytes {
		return s.config.CallTimeout
	}
	return headTimeout
}

// tree is a way to reach many daemons through a few of them.
type tree struct {
	// timeout limits the first call to a daemon.
	timeout time.Duration
	// reach calls the first daemon of a group, which is to reach the rest of it, and
	// says whether it answered.
	reach func(head string, rest []string, timeout time.Duration) bool
	// retry calls a daemon again that did not answer. The first call may have gone to
	// a connection that a former process of its host left behind.
	retry func(head string)
}

// callHeads calls the first daemon of each group. When it does not answer, a few others
// of the group take its place.
func (s *Syncer) callHeads(t tree, parts [][]string) {
	for _, part := range parts {
		s.spawn(func() {
			head, rest := part[0], part[1:]
			if !t.reach(head, rest, t.timeout) {
				s.callHeads(t, groups(rest, standInFanout))
				t.retry(head)
			}
		})
	}
}

// send sends objects to one daemon, each message within the timeout, and says whether
// it answered.
func (s *Syncer) send(to string, objects []platform.Object, how spread, forward []string, timeout time.Duration) bool {
	for _, batch := range batches(objects) {
		m := objectsMessage{Objects: batch, Spread: how, Forward: forward}
		if _, err := s.callWithin(s.background, timeout, to, KindObjects, m); err != nil {
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
