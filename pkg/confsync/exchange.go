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
	// otherDomainShare is the share of comparisons with another domain. It gives
	// a domain of 12 daemons several such comparisons a second. In a domain of
	// fewer than four daemons the share is larger.
	otherDomainShare = 0.25
	// compareRounds is the maximum number of rounds until a peer answers. They
	// cover 1 + 2 + 4 + 8 peers: with half of all peers dead, none answers in
	// about one of 30,000 cases.
	compareRounds = 4
	// smallCallTimeout limits an offer, and the first call of a comparison once the
	// daemon is ready. Answers to these small messages took at most 245 ms on hosts
	// with a sixth of a core. All rounds plus one interval take less than 2.5 s.
	smallCallTimeout = 300 * time.Millisecond
	// maxExchangeRounds limits the rounds of one exchange.
	maxExchangeRounds = 256
	// versionsPerMessage limits the versions in a message, unless a single bucket
	// holds more. Messages then stay below MaxMessageBytes even with the longest
	// keys and an object of the maximum size in the reply.
	versionsPerMessage = 1 << 10
	// versionBytes is about the size of a version in a message.
	versionBytes = 40
)

// Tick compares digests with one peer, and with others if it does not answer.
// Run calls it at each interval. It must not be called concurrently.
func (s *Syncer) Tick(ctx context.Context) {
	s.compare(ctx)
	s.updateReadiness(ctx)
	s.checkRelays(ctx)
}

// compare compares digests with one peer. If that fails, it tries others
// immediately and doubles their number in each round. If it waited an interval
// after each failure, survivors would lack a change for several seconds when
// half of a domain is killed during a push.
func (s *Syncer) compare(ctx context.Context) {
	rounds := compareRounds
	if s.contact.lastIntervalFailed() || !s.Ready() {
		// A daemon that gets no answer from any peer is probably partitioned.
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
			s.recordContact(true)
			return
		}
	}
	if len(tried) > 0 {
		s.recordContact(false)
	}
}

// compareAny compares digests with all given peers concurrently and reports
// whether any comparison succeeded.
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

// Compare starts a digest comparison with a peer that may hold changes which could
// not reach this daemon earlier. It does not wait for completion.
func (s *Syncer) Compare(peer Peer) {
	s.spawn(func() { s.compareWith(s.backgroundCtx, peer) })
}

func (s *Syncer) compareWith(ctx context.Context, peer Peer) bool {
	timeout := s.config.CallTimeout
	if s.Ready() {
		timeout = min(timeout, smallCallTimeout)
	}
	ready, err := s.exchange(ctx, peer.Address, timeout, propagateByGossip)
	if err != nil {
		s.digestErrors.Add(1)
		s.config.Log.Debug().Err(err).Str("peer", peer.Address).Msg("confsync: digest comparison failed")
		return false
	}
	if ready {
		s.boot.recordComparison(peer)
	}
	return true
}

// randomPeerShare is the share of comparisons with any peer instead of a near
// one. Without it, a group of daemons that are near only to each other could
// miss changes.
const randomPeerShare = 1.0 / 8

// ownDomainBootTimeout is how long a starting daemon in reduced-traffic mode compares only
// within its own domain.
const ownDomainBootTimeout = 3 * time.Second

// choosePeer returns a random peer that was not tried yet. It prefers near peers,
// then peers of the same domain.
func (s *Syncer) choosePeer(tried []string) (Peer, bool) {
	wasTried := func(p Peer) bool { return slices.Contains(tried, p.Address) }
	sameDomain, otherDomains := s.otherPeers()
	sameDomain, otherDomains = slices.DeleteFunc(sameDomain, wasTried), slices.DeleteFunc(otherDomains, wasTried)
	if !s.Ready() {
		if s.config.ReduceTraffic && len(sameDomain) > 0 && s.config.Now().Sub(s.boot.startedAt) < ownDomainBootTimeout {
			otherDomains = nil
		}
		return s.chooseBootPeer(append(sameDomain, otherDomains...))
	}
	if !s.config.CompareOtherDomains() {
		otherDomains = nil
	}
	if s.config.ConnectedPeers != nil && s.randFloat() >= randomPeerShare {
		if near := slices.DeleteFunc(s.config.ConnectedPeers(), wasTried); len(near) > 0 {
			return near[int(s.randFloat()*float64(len(near)))], true
		}
	}
	candidates := sameDomain
	share := max(otherDomainShare, 1/float64(len(sameDomain)+1))
	if len(otherDomains) > 0 && s.randFloat() < share {
		candidates = otherDomains
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return candidates[int(s.randFloat()*float64(len(candidates)))], true
}

// exchange synchronizes the local replica and that of a peer to the newer versions,
// and reports whether the peer is ready. timeout limits the first call. mode is how
// the peer propagates the objects that it lacked.
func (s *Syncer) exchange(ctx context.Context, peer string, timeout time.Duration, mode propagation) (ready bool, err error) {
	localDigest := s.config.Replica.Digest()
	sentAt := s.config.BootTime()
	body, err := s.callWithTimeout(ctx, timeout, peer, KindDigest, digestMessage{
		Root: localDigest.Root(), WantAge: s.needsConfirmation(), WantCopyAge: true,
	})
	if err != nil {
		return false, err
	}
	var reply digestReply
	if err := decode(body, &reply); err != nil {
		return false, err
	}
	// The ages count once the objects that the peer had are applied.
	defer func() {
		s.recordStatement(confirmedByComparison, sentAt, reply.age())
		if err == nil {
			s.relayContact.confirm(sentAt - reply.copyAge())
		}
	}()
	if len(reply.Buckets) == 0 {
		return reply.Ready, nil
	}
	if len(reply.Buckets) != DigestBuckets {
		return false, errors.Wrapf(errInvalidMessage, "digest has %d buckets", len(reply.Buckets))
	}
	buckets := localDigest.Differing(Digest(reply.Buckets))
	for round := 0; len(buckets) > 0; round++ {
		if round == maxExchangeRounds {
			return false, errors.Newf("confsync: replicas still differ after %d rounds", maxExchangeRounds)
		}
		exchanged, err := s.exchangeBuckets(ctx, peer, buckets, mode)
		if err != nil {
			return false, err
		}
		buckets = buckets[exchanged:]
	}
	return reply.Ready, nil
}

// exchangeBuckets exchanges as many of the buckets as fit into one message and
// returns how many were completed.
func (s *Syncer) exchangeBuckets(ctx context.Context, peer string, buckets []uint16, mode propagation) (done int, err error) {
	var m versionsMessage
	for _, b := range buckets {
		versions := s.config.Replica.Versions(b)
		if len(m.Buckets) > 0 && len(m.Versions)+len(versions) > versionsPerMessage {
			break
		}
		m.Buckets = append(m.Buckets, b)
		m.Versions = append(m.Versions, versions...)
	}
	m.Extended = true
	m.Versions, m.Packed = packVersions(m.Versions)
	body, err := s.call(ctx, peer, KindVersions, m)
	if err != nil {
		return 0, err
	}
	var reply versionsReply
	if err := decode(body, &reply); err != nil {
		return 0, err
	}
	if err := unpack(reply.Packed, &reply.Objects); err != nil {
		return 0, err
	}
	if err := checkObjects(reply.Objects, s.config.Prefixes); err != nil {
		return 0, err
	}
	s.gossip(s.config.Replica.applyAll(Origin{Source: SourceComparison, Peer: peer}, reply.Objects))
	if err := s.sendWanted(ctx, peer, reply.Wanted, mode); err != nil {
		return 0, err
	}
	if reply.More {
		return 0, nil
	}
	return len(m.Buckets), nil
}

// sendWanted sends the requested objects to a peer.
func (s *Syncer) sendWanted(ctx context.Context, peer string, keys []string, mode propagation) error {
	var objects []platform.Object
	for _, key := range keys {
		if o, ok := s.config.Replica.lookup(key); ok {
			objects = append(objects, o)
		}
	}
	for _, p := range newParcels(objects) {
		if _, err := s.call(ctx, peer, KindObjects, p.message(mode, nil)); err != nil {
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
	// Ready and the age are read before the digest, so that the digest covers all objects
	// that made this daemon ready, and all that its copy held at that age.
	reply := digestReply{Ready: s.Ready()}
	if m.WantCopyAge {
		reply.CopyAge = encodeCopyAge(s.CopyAge())
	}
	localDigest := s.config.Replica.Digest()
	if localDigest.Root() != m.Root {
		reply.Buckets = localDigest[:]
	}
	if m.WantAge {
		reply.confirmedAge = s.statement()
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
	if err := unpack(m.Packed, &m.Versions); err != nil {
		return nil, err
	}
	for _, v := range m.Versions {
		if !validKey(v.Key, s.config.Prefixes) {
			return nil, errors.Wrapf(errInvalidMessage, "key %.64q", v.Key)
		}
	}
	var reply versionsReply
	reply.Objects, reply.More, reply.Wanted = s.config.Replica.Diff(m.Buckets, m.Versions, batchBytes)
	if p := newParcel(reply.Objects); m.Extended && p.packed != nil {
		reply.Objects, reply.Packed = nil, p.packed
	}
	return encode(reply)
}
