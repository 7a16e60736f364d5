package confsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

const (
	// otherDomainShare is the share of comparisons with another domain. A domain
	// of 12 daemons then has several such comparisons a second; in a domain of
	// fewer than four the share is larger.
	otherDomainShare = 0.25
	// compareRounds is how many rounds of peers are asked until one answers: up to
	// 1 + 2 + 4 + 8 peers, so that with half of all peers dead none answers about
	// once in 30,000 times.
	compareRounds = 4
	// smallCallTimeout limits an offer, and the first call of a comparison once the
	// daemon is ready. Their messages are small, and answers took at most 245 ms on
	// hosts with a sixth of a core. All rounds and an interval take less than 2.5 s.
	smallCallTimeout = 300 * time.Millisecond
	// maxRounds bounds the messages of one exchange.
	maxRounds = 256
	// versionsPerMessage bounds the versions sent at once, unless one bucket
	// alone holds more. With the longest keys, and one object of the largest
	// size in the reply, messages stay below MaxMessageBytes.
	versionsPerMessage = 1 << 10
)

// Tick compares digests with one peer, and with others when it does not answer.
// Run calls it at each interval; tests call it themselves, not concurrently.
func (s *Syncer) Tick(ctx context.Context) {
	s.compare(ctx)
	s.checkReady(ctx)
}

// compare compares digests with one peer. When it fails, others are tried at
// once, twice as many in each round: when half of a domain is killed in the
// middle of a push, a pause of an interval after each failure leaves survivors
// without the change for several seconds.
func (s *Syncer) compare(ctx context.Context) {
	rounds := compareRounds
	if s.contact.lost() || !s.Ready() {
		// A daemon that no other answers is probably cut off.
		rounds = 1
	}
	var tried []string
	for round := range rounds {
		var peers []Peer
		for range 1 << round {
			if peer, ok := s.choosePeer(tried); ok {
				peers, tried = append(peers, peer), append(tried, peer.Address)
			}
		}
		if s.compareAny(ctx, peers) {
			s.noteContact(true)
			return
		}
	}
	if len(tried) > 0 {
		s.noteContact(false)
	}
}

// compareAny compares digests with all of the peers at the same time and says
// whether one comparison succeeded.
func (s *Syncer) compareAny(ctx context.Context, peers []Peer) bool {
	var done sync.WaitGroup
	var succeeded atomic.Bool
	for _, peer := range peers {
		done.Add(1)
		started := s.config.Spawn(func() {
			defer done.Done()
			if s.compareWith(ctx, peer) {
				succeeded.Store(true)
			}
		})
		if !started {
			done.Done()
		}
	}
	done.Wait()
	return succeeded.Load()
}

// Compare compares digests with a peer that may hold changes which could not reach
// this daemon before. It does not wait for the end.
func (s *Syncer) Compare(peer Peer) {
	s.spawn(func() { s.compareWith(s.background, peer) })
}

func (s *Syncer) compareWith(ctx context.Context, peer Peer) bool {
	timeout := s.config.CallTimeout
	if s.Ready() {
		timeout = min(timeout, smallCallTimeout)
	}
	ready, err := s.exchange(ctx, peer.Address, timeout, spreadGossip)
	if err != nil {
		s.digestErrors.Add(1)
		s.config.Log.Debug().Err(err).Str("peer", peer.Address).Msg("confsync: digest comparison failed")
		return false
	}
	if ready {
		s.boot.exchanged(peer)
	}
	return true
}

// randomShare is the share of comparisons with any peer instead of a near one,
// so that near peers that form a group of their own cannot stay behind.
const randomShare = 1.0 / 8

// ownDomainPatience is how long a thrifty daemon that starts compares within its
// own domain only.
const ownDomainPatience = 3 * time.Second

// choosePeer returns a random peer that was not tried, mostly one to which a
// connection is open, else mostly one of the own domain.
func (s *Syncer) choosePeer(tried []string) (Peer, bool) {
	wasTried := func(p Peer) bool { return slices.Contains(tried, p.Address) }
	own, other := s.others()
	own, other = slices.DeleteFunc(own, wasTried), slices.DeleteFunc(other, wasTried)
	if !s.Ready() {
		if s.config.Thrifty && len(own) > 0 && s.config.Now().Sub(s.boot.started) < ownDomainPatience {
			other = nil
		}
		return s.chooseBootPeer(append(own, other...))
	}
	if !s.config.Cross() {
		other = nil
	}
	if s.config.Near != nil && s.float() >= randomShare {
		if near := slices.DeleteFunc(s.config.Near(), wasTried); len(near) > 0 {
			return near[int(s.float()*float64(len(near)))], true
		}
	}
	from := own
	share := max(otherDomainShare, 1/float64(len(own)+1))
	if len(other) > 0 && s.float() < share {
		from = other
	}
	if len(from) == 0 {
		return Peer{}, false
	}
	return from[int(s.float()*float64(len(from)))], true
}

// exchange brings the own replica and that of a peer to the newer of both, and
// says whether the peer is ready. timeout limits the first call. onward is what the
// peer does with the objects that it lacked.
func (s *Syncer) exchange(ctx context.Context, peer string, timeout time.Duration, onward spread) (ready bool, err error) {
	mine := s.config.Replica.Digest()
	body, err := s.callWithin(ctx, timeout, peer, KindDigest, digestMessage{Root: mine.Root()})
	if err != nil {
		return false, err
	}
	var reply digestReply
	if err := decode(body, &reply); err != nil {
		return false, err
	}
	if len(reply.Buckets) == 0 {
		return reply.Ready, nil
	}
	if len(reply.Buckets) != DigestBuckets {
		return false, errors.Wrapf(errMessage, "digest has %d buckets", len(reply.Buckets))
	}
	buckets := mine.Differing(Digest(reply.Buckets))
	for round := 0; len(buckets) > 0; round++ {
		if round == maxRounds {
			return false, errors.Newf("confsync: replicas still differ after %d rounds", maxRounds)
		}
		done, err := s.exchangeBuckets(ctx, peer, buckets, onward)
		if err != nil {
			return false, err
		}
		buckets = buckets[done:]
	}
	return reply.Ready, nil
}

// exchangeBuckets exchanges as many of the buckets as fit one message and
// returns how many are done.
func (s *Syncer) exchangeBuckets(ctx context.Context, peer string, buckets []uint16, onward spread) (done int, err error) {
	var m versionsMessage
	for _, b := range buckets {
		versions := s.config.Replica.Versions(b)
		if len(m.Buckets) > 0 && len(m.Versions)+len(versions) > versionsPerMessage {
			break
		}
		m.Buckets = append(m.Buckets, b)
		m.Versions = append(m.Versions, versions...)
	}
	body, err := s.call(ctx, peer, KindVersions, m)
	if err != nil {
		return 0, err
	}
	var reply versionsReply
	if err := decode(body, &reply); err != nil {
		return 0, err
	}
	if err := checkObjects(reply.Objects, s.config.Prefixes); err != nil {
		return 0, err
	}
	s.gossip(s.config.Replica.applyAll(reply.Objects))
	if err := s.sendWanted(ctx, peer, reply.Wanted, onward); err != nil {
		return 0, err
	}
	if reply.More {
		return 0, nil
	}
	return len(m.Buckets), nil
}

// sendWanted sends a peer the objects that it asked for.
func (s *Syncer) sendWanted(ctx context.Context, peer string, keys []string, onward spread) error {
	var objects []platform.Object
	for _, key := range keys {
		if o, ok := s.config.Replica.held(key); ok {
			objects = append(objects, o)
		}
	}
	for _, batch := range batches(objects) {
		m := objectsMessage{Objects: batch, Spread: onward}
		if _, err := s.call(ctx, peer, KindObjects, m); err != nil {
			return err
		}
	}
	return nil
}

func (s *Syncer) handleDigest(body []byte) ([]byte, error) {
	var m digestMessage
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	// Ready is read first: the digest then covers all that made it ready.
	reply := digestReply{Ready: s.Ready()}
	mine := s.config.Replica.Digest()
	if mine.Root() != m.Root {
		reply.Buckets = mine[:]
	}
	return encode(reply)
}

func (s *Syncer) handleVersions(body []byte) ([]byte, error) {
	var m versionsMessage
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	if err := checkBuckets(m.Buckets); err != nil {
		return nil, err
	}
	for _, v := range m.Versions {
		if !validKey(v.Key, s.config.Prefixes) {
			return nil, errors.Wrapf(errMessage, "key %.64q", v.Key)
		}
	}
	var reply versionsReply
	reply.Objects, reply.More, reply.Wanted = s.config.Replica.Diff(m.Buckets, m.Versions, batchBytes)
	return encode(reply)
}
