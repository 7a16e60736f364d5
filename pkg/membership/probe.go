package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"shallotglade/pkg/platform"
)

// probe is a ping that awaits its Ack.
type probe struct {
	seq    uint64
	target uint64
	sent   time.Duration
	// indirect is set once indirect probes have been requested.
	indirect bool
}

// relay is a ping sent on behalf of another daemon's PingReq.
type relay struct {
	seq, requesterSeq uint64
	target            uint64
	requesterAddress  string // peer address
	sent              time.Duration
}

// Tick advances the view and returns the messages to send. Call it several
// times per period. A gap of more than pausePeriods counts as a pause of this
// process, after which no host is suspected for gracePeriods.
func (v *View) Tick(now time.Time, rng *rand.Rand) []Message {
	v.updateClock(now)
	if gap := v.now - v.lastTick; gap > pausePeriods*v.params.Period {
		v.resetAfterPause()
	}
	v.lastTick = v.now
	out := v.checkPendingProbes(rng)
	v.expireSuspects()
	v.retryDeferred()
	for _, key := range v.urgentProbes {
		out = v.startProbe(out, key)
	}
	v.urgentProbes = v.urgentProbes[:0]
	if v.now >= v.nextPriorityProbe && len(v.priorityHosts) > 0 {
		v.nextPriorityProbe = v.now + v.priorityProbePeriod()
		for _, key := range v.priorityHosts {
			out = v.startProbe(out, key)
		}
	}
	if v.now >= v.nextProbe {
		v.nextProbe = max(v.nextProbe+v.params.Period, v.now)
		out = v.probeNext(out, rng)
	}
	if v.now >= v.nextCleanup {
		v.nextCleanup = v.now + v.params.ForgetAfter/8
		v.removeExpired()
	}
	return out
}

// resetAfterPause discards pending probes and restarts suspicion timeouts, since
// answers and refutations may have been lost while this process was paused.
// Other daemons may suspect this one, so it raises its incarnation.
func (v *View) resetAfterPause() {
	v.counters.Pauses++
	v.probes, v.relays = v.probes[:0], v.relays[:0]
	v.graceUntil = v.now + gracePeriods*v.params.Period
	v.lastHeard = v.now
	v.incarnation++
	v.gossip.add(v.selfKey, v.retransmits())
	for _, key := range v.suspects {
		if h := v.hosts[key]; h != nil {
			h.suspectedAt = v.now
		}
	}
}

// checkPendingProbes requests indirect probes for probes past DirectTimeout and
// fails those past ProbeTimeout.
func (v *View) checkPendingProbes(rng *rand.Rand) []Message {
	var out []Message
	kept := v.probes[:0]
	for _, p := range v.probes {
		age := v.now - p.sent
		if age >= v.params.ProbeTimeout {
			v.handleProbeFailure(p.target)
			continue
		}
		if age >= v.params.DirectTimeout && !p.indirect {
			p.indirect = true
			out = v.requestIndirectProbes(out, p, rng)
		}
		kept = append(kept, p)
	}
	v.probes = kept
	v.relays = slices.DeleteFunc(v.relays, func(r relay) bool { return v.now-r.sent > v.params.ProbeTimeout })
	return out
}

func (v *View) requestIndirectProbes(out []Message, p probe, rng *rand.Rand) []Message {
	if h := v.hosts[p.target]; h != nil {
		v.setPathBad(h)
	}
	excluded := []uint64{p.target}
	for range v.params.IndirectProbers {
		key, found := v.pickRandom(rng, func(h *host) bool {
			return h.state == Alive && h.pathBadUntil <= v.now && v.mayProbe(h) && !slices.Contains(excluded, h.key)
		})
		if !found {
			break
		}
		excluded = append(excluded, key)
		m := v.newMessage(PingReq, p.seq, v.hosts[key].member.PeerAddress, key, p.target)
		m.Target = p.target
		out = append(out, m)
		v.counters.IndirectProbes++
	}
	return out
}

// handleProbeFailure handles a probe without an Ack, direct or indirect: it
// suspects the target unless there is evidence that the target is alive or that
// this daemon is at fault.
func (v *View) handleProbeFailure(key uint64) {
	h := v.hosts[key]
	if h == nil {
		return
	}
	v.setPathBad(h)
	heardRecently := h.lastHeard > 0 && v.now-h.lastHeard < 2*v.params.Period
	if h.state != Alive || heardRecently || v.now < v.graceUntil || v.Isolated() {
		return
	}
	v.counters.Suspicions++
	v.setState(h, Suspect, h.incarnation)
	h.locallySuspected = true
	if n := len(v.changes); n > 0 && v.changes[n-1].ID == h.member.ID {
		v.changes[n-1].OwnProbe = true
	}
	v.enqueueUpdate(h)
}

// expireSuspects declares suspects dead that did not refute within
// SuspicionTimeout. An isolated or recently paused daemon restarts the timeouts
// instead.
func (v *View) expireSuspects() {
	postpone := v.now < v.graceUntil || v.Isolated()
	kept := v.suspects[:0]
	for _, key := range v.suspects {
		h := v.hosts[key]
		if h == nil || h.state != Suspect {
			continue
		}
		if postpone {
			h.suspectedAt = v.now
		}
		if v.now-h.suspectedAt < v.params.SuspicionTimeout {
			kept = append(kept, key)
			continue
		}
		v.counters.Deaths++
		v.setState(h, Dead, h.incarnation)
		v.enqueueUpdate(h)
	}
	v.suspects = kept
}

// probeNext probes the next partner or a random host, some dead hosts during
// recovery, and locally suspected hosts again so that they learn of the
// suspicion.
func (v *View) probeNext(out []Message, rng *rand.Rand) []Message {
	if len(v.sortedKeys) == 0 {
		return out
	}
	if v.partnersStale {
		v.choosePartners(rng)
	}
	v.probeNumber++
	if v.probeNumber%v.params.RandomProbeEvery == 0 || len(v.partners) == 0 {
		if key, found := v.pickRandom(rng, v.mayProbe); found {
			out = v.startProbe(out, key)
		}
	} else {
		out = v.startProbe(out, v.partners[v.probeNumber%len(v.partners)])
	}
	if v.now < v.recoveryUntil {
		for range recoveryProbes {
			if key, found := v.pickRandom(rng, func(h *host) bool { return h.state == Dead && v.mayProbe(h) }); found {
				out = v.startProbe(out, key)
			}
		}
	}
	reprobed := 0
	for _, key := range v.suspects {
		if h := v.hosts[key]; h != nil && h.locallySuspected && reprobed < maxReprobes {
			out = v.startProbe(out, key)
			reprobed++
		}
	}
	return out
}

// choosePartners selects the successor of this daemon on each of several hash
// rings. Every daemon thus has as many probers as partners, the partners of all
// daemons form a graph over which gossip spreads fast, connections persist, and
// a host that joins or leaves changes one partner of a few daemons.
func (v *View) choosePartners(rng *rand.Rand) {
	v.partnersStale = false
	v.partners = v.partners[:0]
	v.isBridge = v.params.Bridges > 0 && slices.Contains(v.bridgesOf(v.self.Domain), v.selfKey)
	for ring := range v.params.Partners {
		ringSeed := mix(uint64(ring) + 1)
		selfHash := mix(v.selfKey ^ ringSeed)
		var successor uint64
		minDistance := ^uint64(0)
		for _, key := range v.sortedKeys {
			// The subtraction wraps around the ring.
			h := v.hosts[key]
			if v.params.Bridges > 0 && h.member.Domain != v.self.Domain {
				continue
			}
			if d := mix(key^ringSeed) - selfHash; d < minDistance && h.state != Dead {
				successor, minDistance = key, d
			}
		}
		if minDistance != ^uint64(0) && !slices.Contains(v.partners, successor) {
			v.partners = append(v.partners, successor)
		}
	}
	if v.isBridge {
		for _, domain := range v.otherDomains() {
			v.partners = append(v.partners, v.bridgesOf(domain)...)
		}
	}
	rng.Shuffle(len(v.partners), func(i, j int) { v.partners[i], v.partners[j] = v.partners[j], v.partners[i] })
}

// bridgeSeed keeps the choice of bridges independent of the order of probe partners.
const bridgeSeed = 0xb41d6e

// bridgesOf returns the daemons of a domain that probe other domains. Daemons
// with the same view agree on them.
func (v *View) bridgesOf(domain string) []uint64 {
	var keys []uint64
	for _, key := range v.sortedKeys {
		if h := v.hosts[key]; h.member.Domain == domain && h.state != Dead && !h.leaving {
			keys = append(keys, key)
		}
	}
	if domain == v.self.Domain && !v.leaving {
		keys = append(keys, v.selfKey)
	}
	slices.SortFunc(keys, func(a, b uint64) int { return cmp.Compare(mix(a^bridgeSeed), mix(b^bridgeSeed)) })
	return keys[:min(len(keys), v.params.Bridges)]
}

// otherDomains returns the failure domains of the other daemons, sorted.
func (v *View) otherDomains() []string {
	var out []string
	for _, h := range v.hosts {
		if d := h.member.Domain; d != v.self.Domain && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// mayProbe reports whether this daemon may open a connection to the host for a
// regular probe. Without Params.Bridges it may probe all hosts.
func (v *View) mayProbe(h *host) bool {
	return v.params.Bridges == 0 || v.isBridge || h.member.Domain == v.self.Domain
}

// maxPriorityHosts bounds the hosts probed every Params.PriorityProbePeriod.
const maxPriorityHosts = 12

// maxPriorityProbeRate is the number of probes per second that a host receives from the
// daemons of a domain. The first of them to detect its failure informs the others.
const maxPriorityProbeRate = 160

// priorityProbePeriod returns the interval between probes of one priority host. In a
// large domain it is longer than Params.PriorityProbePeriod, so that the load of a home
// does not grow with the fleet.
func (v *View) priorityProbePeriod() time.Duration {
	daemons := 1
	for _, h := range v.hosts {
		if h.member.Domain == v.self.Domain && h.state != Dead {
			daemons++
		}
	}
	return max(v.params.PriorityProbePeriod, time.Duration(daemons)*time.Second/maxPriorityProbeRate)
}

// SetPriorityHosts sets the hosts whose failure this daemon must detect quickly,
// in any domain: those whose addresses it gives to callers, and the other homes
// of its services. Each is probed every Params.PriorityProbePeriod.
func (v *View) SetPriorityHosts(ids []string) {
	v.priorityHosts = v.priorityHosts[:0]
	for _, id := range ids[:min(len(ids), maxPriorityHosts)] {
		if key := KeyOf(id); v.hosts[key] != nil && key != v.selfKey {
			v.priorityHosts = append(v.priorityHosts, key)
		}
	}
}

// IsBridge reports whether this daemon may exchange periodic messages with other
// domains.
func (v *View) IsBridge() bool { return v.params.Bridges == 0 || v.isBridge }

// Partners returns the ids of the hosts that this daemon probes in rotation.
// Connections to them are open, so other periodic messages should prefer them.
func (v *View) Partners() []string {
	ids := make([]string, 0, len(v.partners))
	for _, key := range v.partners {
		if h := v.hosts[key]; h != nil {
			ids = append(ids, h.member.ID)
		}
	}
	return ids
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (v *View) startProbe(out []Message, key uint64) []Message {
	h := v.hosts[key]
	pending := slices.ContainsFunc(v.probes, func(p probe) bool { return p.target == key })
	if h == nil || pending || len(v.probes) >= maxPending {
		return out
	}
	v.nextSeq++
	v.counters.Probes++
	v.probes = append(v.probes, probe{seq: v.nextSeq, target: key, sent: v.now})
	return append(out, v.newPing(h, v.nextSeq))
}

func (v *View) newPing(h *host, seq uint64) Message {
	m := v.newMessage(Ping, seq, h.member.PeerAddress, h.key)
	m.Contact = &Contact{
		Region: v.self.Region, Domain: v.self.Domain, Address: v.self.Address, PeerAddress: v.self.PeerAddress,
		Host: v.self.Host,
	}
	return m
}

func (v *View) newMessage(kind Kind, seq uint64, to string, firstKeys ...uint64) Message {
	return Message{
		To: to, Kind: kind, Seq: seq, From: v.self.ID, Incarnation: v.incarnation, Leaving: v.leaving, Detached: v.detached,
		Entries: v.buildEntries(firstKeys...),
	}
}

// Receive processes a message and returns the messages to send in response. The
// caller must have verified that the sender owns m.From.
func (v *View) Receive(now time.Time, m Message) []Message {
	v.updateClock(now)
	key := KeyOf(m.From)
	if key == v.selfKey {
		return nil
	}
	h := v.hosts[key]
	if h == nil {
		if h = v.discover(key, m); h == nil {
			return nil
		}
	}
	v.recordContact(h)
	v.corrections = v.corrections[:0]
	v.applyEntry(Entry{Key: key, Incarnation: m.Incarnation, Leaving: m.Leaving, Detached: m.Detached})
	for _, e := range m.Entries[:min(len(m.Entries), MaxEntries)] {
		v.applyEntry(e)
	}
	switch m.Kind {
	case Ping:
		return []Message{v.newMessage(Ack, m.Seq, cmp.Or(contactAddress(m), h.member.PeerAddress),
			append([]uint64{key}, v.corrections...)...)}
	case PingReq:
		return v.relayPing(h, m)
	case Ack:
		return v.handleAck(h, m)
	}
	return nil
}

// discover adds the sender of a ping that is not in the roster yet. It is
// removed unless a roster lists it within Params.ForgetAfter.
func (v *View) discover(key uint64, m Message) *host {
	if m.Contact == nil {
		return nil
	}
	member := &platform.Member{
		ID: m.From, Role: platform.RoleDaemon, State: platform.Live, Region: m.Contact.Region,
		Domain: m.Contact.Domain, Address: m.Contact.Address, PeerAddress: m.Contact.PeerAddress,
		Host: m.Contact.Host,
	}
	if previous := v.removePredecessor(key, m.Contact.Host); previous != nil {
		// The resources belong to the host, not to the process.
		member.Cores, member.LinkMbps = previous.Cores, previous.LinkMbps
	}
	h := v.addHost(key, member)
	h.unlistedAt, h.discovered = v.now, true
	return h
}

func contactAddress(m Message) string {
	if m.Contact == nil {
		return ""
	}
	return m.Contact.PeerAddress
}

// relayPing pings the target of a PingReq on behalf of the requester.
func (v *View) relayPing(requester *host, m Message) []Message {
	target := v.hosts[m.Target]
	if target == nil || len(v.relays) >= maxPending {
		return nil
	}
	v.nextSeq++
	v.relays = append(v.relays, relay{
		seq: v.nextSeq, requesterSeq: m.Seq, target: m.Target, requesterAddress: requester.member.PeerAddress, sent: v.now,
	})
	return []Message{v.newPing(target, v.nextSeq)}
}

// handleAck completes the probe that m answers, or forwards the answer to the
// daemon that requested an indirect probe.
func (v *View) handleAck(from *host, m Message) []Message {
	if i := slices.IndexFunc(v.probes, func(p probe) bool { return p.seq == m.Seq }); i >= 0 {
		p := v.probes[i]
		switch {
		case m.Target == 0 && p.target == from.key:
			v.clearPathBad(from)
		case m.Target == p.target:
			// An indirect probe reached the target: only the direct path is bad.
		default:
			return nil
		}
		v.probes = slices.Delete(v.probes, i, i+1)
		return nil
	}
	i := slices.IndexFunc(v.relays, func(r relay) bool { return r.seq == m.Seq && r.target == from.key })
	if i < 0 || m.Target != 0 {
		return nil
	}
	r := v.relays[i]
	v.relays = slices.Delete(v.relays, i, i+1)
	ack := v.newMessage(Ack, r.requesterSeq, r.requesterAddress, r.target)
	ack.Target = r.target
	return []Message{ack}
}
