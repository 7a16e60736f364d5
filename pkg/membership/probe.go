package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"shallotglade/pkg/platform"
)

// probe is a ping whose answer is awaited.
type probe struct {
	seq    uint64
	target uint64
	sent   time.Duration
	// indirect is set when the helpers have been asked.
	indirect bool
}

// relay is a ping sent for another daemon.
type relay struct {
	seq, askerSeq uint64
	target        uint64
	asker         string // peer address
	sent          time.Duration
}

// Tick advances the view and returns the messages to send. Call it several
// times a period; a gap of more than two periods is taken for a pause of this
// process, after which nobody is suspected for two periods.
func (v *View) Tick(now time.Time, rng *rand.Rand) []Message {
	v.advance(now)
	if gap := v.now - v.lastTick; gap > pauseGap*v.params.Period {
		v.resume()
	}
	v.lastTick = v.now
	out := v.advanceProbes(rng)
	v.expireSuspects()
	v.listPassedOver()
	for _, key := range v.urgent {
		out = v.probe(out, key)
	}
	v.urgent = v.urgent[:0]
	if v.now >= v.nextCompanions && len(v.companions) > 0 {
		v.nextCompanions = v.now + v.params.CompanionPeriod
		for _, key := range v.companions {
			out = v.probe(out, key)
		}
	}
	if v.now >= v.nextProbe {
		v.nextProbe = max(v.nextProbe+v.params.Period, v.now)
		out = v.probeNext(out, rng)
	}
	if v.now >= v.nextForget {
		v.nextForget = v.now + v.params.Forget/8
		v.forget()
	}
	return out
}

// resume discards what was awaited before a pause: the answers may have been
// lost while this process did not run. Others may suspect this daemon, so it
// announces itself with a higher incarnation.
func (v *View) resume() {
	v.counters.Pauses++
	v.probes, v.relays = v.probes[:0], v.relays[:0]
	v.graceUntil = v.now + gracePeriods*v.params.Period
	v.lastHeard = v.now
	v.incarnation++
	v.rumours.add(v.key, v.sends())
	for _, key := range v.suspects {
		if h := v.hosts[key]; h != nil {
			h.suspected = v.now
		}
	}
}

// advanceProbes asks helpers for probes that were not answered directly, and
// gives up those that were not answered at all.
func (v *View) advanceProbes(rng *rand.Rand) []Message {
	var out []Message
	kept := v.probes[:0]
	for _, p := range v.probes {
		age := v.now - p.sent
		if age >= v.params.ProbeTimeout {
			v.failed(p.target)
			continue
		}
		if age >= v.params.DirectTimeout && !p.indirect {
			p.indirect = true
			out = v.askHelpers(out, p, rng)
		}
		kept = append(kept, p)
	}
	v.probes = kept
	v.relays = slices.DeleteFunc(v.relays, func(r relay) bool { return v.now-r.sent > v.params.ProbeTimeout })
	return out
}

func (v *View) askHelpers(out []Message, p probe, rng *rand.Rand) []Message {
	if h := v.hosts[p.target]; h != nil {
		v.setPathBad(h)
	}
	asked := []uint64{p.target}
	for range v.params.Helpers {
		key, found := v.pick(rng, func(h *host) bool {
			return h.state == Alive && h.badUntil <= v.now && v.near(h) && !slices.Contains(asked, h.key)
		})
		if !found {
			break
		}
		asked = append(asked, key)
		m := v.message(PingReq, p.seq, v.hosts[key].member.PeerAddress, key, p.target)
		m.Target = p.target
		out = append(out, m)
		v.counters.IndirectProbes++
	}
	return out
}

// failed takes a probe that neither the target nor a helper answered.
func (v *View) failed(key uint64) {
	h := v.hosts[key]
	if h == nil {
		return
	}
	v.setPathBad(h)
	recent := h.heard > 0 && v.now-h.heard < 2*v.params.Period
	if h.state != Alive || recent || v.now < v.graceUntil || v.Isolated() {
		return
	}
	v.counters.Suspicions++
	v.setState(h, Suspect, h.incarnation)
	h.accuser = true
	if n := len(v.changes); n > 0 && v.changes[n-1].ID == h.member.ID {
		v.changes[n-1].Own = true
	}
	v.announce(h)
}

// expireSuspects declares the suspects dead that had their time to refute. A
// daemon that is cut off or was paused postpones that.
func (v *View) expireSuspects() {
	postpone := v.now < v.graceUntil || v.Isolated()
	kept := v.suspects[:0]
	for _, key := range v.suspects {
		h := v.hosts[key]
		if h == nil || h.state != Suspect {
			continue
		}
		if postpone {
			h.suspected = v.now
		}
		if v.now-h.suspected < v.params.Suspicion {
			kept = append(kept, key)
			continue
		}
		v.counters.Deaths++
		v.setState(h, Dead, h.incarnation)
		v.announce(h)
	}
	v.suspects = kept
}

// probeNext probes the partner whose turn it is, or any host, and the own
// suspects again, so that they hear of the suspicion.
func (v *View) probeNext(out []Message, rng *rand.Rand) []Message {
	if len(v.order) == 0 {
		return out
	}
	if v.stale {
		v.choosePartners(rng)
	}
	v.turn++
	if v.turn%v.params.RandomEvery == 0 || len(v.partners) == 0 {
		if key, found := v.pick(rng, v.near); found {
			out = v.probe(out, key)
		}
	} else {
		out = v.probe(out, v.partners[v.turn%len(v.partners)])
	}
	if v.now < v.recoverUntil {
		for range recoveryProbes {
			if key, found := v.pick(rng, func(h *host) bool { return h.state == Dead && v.near(h) }); found {
				out = v.probe(out, key)
			}
		}
	}
	reprobed := 0
	for _, key := range v.suspects {
		if h := v.hosts[key]; h != nil && h.accuser && reprobed < maxReprobes {
			out = v.probe(out, key)
			reprobed++
		}
	}
	return out
}

// choosePartners takes the successor of this daemon on each of several rings
// of hashes. Every daemon thus has as many probers as partners, the partners
// of all daemons form a graph over which rumours spread fast, connections
// persist, and a host that comes or goes changes one partner of a few daemons.
func (v *View) choosePartners(rng *rand.Rand) {
	v.stale = false
	v.partners = v.partners[:0]
	v.bridge = v.params.Bridges > 0 && slices.Contains(v.bridgesOf(v.self.Domain), v.key)
	for ring := range v.params.Partners {
		seed := mix(uint64(ring) + 1)
		own := mix(v.key ^ seed)
		var best uint64
		distance := ^uint64(0)
		for _, key := range v.order {
			// The subtraction wraps around the ring.
			h := v.hosts[key]
			if v.params.Bridges > 0 && h.member.Domain != v.self.Domain {
				continue
			}
			if d := mix(key^seed) - own; d < distance && h.state != Dead {
				best, distance = key, d
			}
		}
		if distance != ^uint64(0) && !slices.Contains(v.partners, best) {
			v.partners = append(v.partners, best)
		}
	}
	if v.bridge {
		for _, domain := range v.otherDomains() {
			v.partners = append(v.partners, v.bridgesOf(domain)...)
		}
	}
	rng.Shuffle(len(v.partners), func(i, j int) { v.partners[i], v.partners[j] = v.partners[j], v.partners[i] })
}

// bridgeSeed keeps the choice of bridges independent of the rings of partners.
const bridgeSeed = 0xb41d6e

// bridgesOf returns the daemons of a domain that probe other domains, all of
// which agree on them as far as they know the same daemons.
func (v *View) bridgesOf(domain string) []uint64 {
	var keys []uint64
	for _, key := range v.order {
		if h := v.hosts[key]; h.member.Domain == domain && h.state != Dead && !h.leaving {
			keys = append(keys, key)
		}
	}
	if domain == v.self.Domain && !v.leaving {
		keys = append(keys, v.key)
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

// near reports whether this daemon may open a connection to the host for a
// probe.
func (v *View) near(h *host) bool {
	return v.params.Bridges == 0 || v.bridge || h.member.Domain == v.self.Domain
}

// maxCompanions bounds the hosts that are probed often.
const maxCompanions = 12

// SetCompanions names hosts whose end this daemon must learn of soon, wherever
// they are: those that it names to callers, and the other homes of its services.
// Each is probed every Params.CompanionPeriod.
func (v *View) SetCompanions(ids []string) {
	v.companions = v.companions[:0]
	for _, id := range ids[:min(len(ids), maxCompanions)] {
		if key := KeyOf(id); v.hosts[key] != nil && key != v.key {
			v.companions = append(v.companions, key)
		}
	}
}

// IsBridge reports whether this daemon may exchange periodic messages with other
// domains.
func (v *View) IsBridge() bool { return v.params.Bridges == 0 || v.bridge }

// Partners returns the host ids that this daemon probes in turn. Connections to
// them are open, so other periodic messages should prefer them.
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

func (v *View) probe(out []Message, key uint64) []Message {
	h := v.hosts[key]
	pending := slices.ContainsFunc(v.probes, func(p probe) bool { return p.target == key })
	if h == nil || pending || len(v.probes) >= maxPending {
		return out
	}
	v.nextSeq++
	v.counters.Probes++
	v.probes = append(v.probes, probe{seq: v.nextSeq, target: key, sent: v.now})
	return append(out, v.ping(h, v.nextSeq))
}

func (v *View) ping(h *host, seq uint64) Message {
	m := v.message(Ping, seq, h.member.PeerAddress, h.key)
	m.Contact = &Contact{
		Region: v.self.Region, Domain: v.self.Domain, Address: v.self.Address, PeerAddress: v.self.PeerAddress,
		Host: v.self.Host,
	}
	return m
}

func (v *View) message(kind Kind, seq uint64, to string, first ...uint64) Message {
	return Message{
		To: to, Kind: kind, Seq: seq, From: v.self.ID, Incarnation: v.incarnation, Leaving: v.leaving, Detached: v.detached,
		Entries: v.entries(first...),
	}
}

// Receive takes a message whose sender has been verified to own m.From, and
// returns the messages to send in answer.
func (v *View) Receive(now time.Time, m Message) []Message {
	v.advance(now)
	key := KeyOf(m.From)
	if key == v.key {
		return nil
	}
	h := v.hosts[key]
	if h == nil {
		if h = v.meet(key, m); h == nil {
			return nil
		}
	}
	v.heardFrom(h)
	v.corrections = v.corrections[:0]
	v.apply(Entry{Key: key, Incarnation: m.Incarnation, Leaving: m.Leaving, Detached: m.Detached})
	for _, e := range m.Entries[:min(len(m.Entries), MaxEntries)] {
		v.apply(e)
	}
	switch m.Kind {
	case Ping:
		return []Message{v.message(Ack, m.Seq, cmp.Or(contactAddress(m), h.member.PeerAddress),
			append([]uint64{key}, v.corrections...)...)}
	case PingReq:
		return v.relayPing(h, m)
	case Ack:
		return v.acknowledge(h, m)
	}
	return nil
}

// meet adds the sender of a ping that the roster does not show yet. It is
// forgotten unless a roster lists it within Params.Forget.
func (v *View) meet(key uint64, m Message) *host {
	if m.Contact == nil {
		return nil
	}
	v.replaceHost(key, m.Contact.Host)
	h := v.add(key, &platform.Member{
		ID: m.From, Role: platform.RoleDaemon, State: platform.Live, Region: m.Contact.Region,
		Domain: m.Contact.Domain, Address: m.Contact.Address, PeerAddress: m.Contact.PeerAddress,
		Host: m.Contact.Host,
	})
	h.unlisted, h.met = v.now, true
	return h
}

func contactAddress(m Message) string {
	if m.Contact == nil {
		return ""
	}
	return m.Contact.PeerAddress
}

// relayPing pings the target of a PingReq for the asker.
func (v *View) relayPing(asker *host, m Message) []Message {
	target := v.hosts[m.Target]
	if target == nil || len(v.relays) >= maxPending {
		return nil
	}
	v.nextSeq++
	v.relays = append(v.relays, relay{
		seq: v.nextSeq, askerSeq: m.Seq, target: m.Target, asker: asker.member.PeerAddress, sent: v.now,
	})
	return []Message{v.ping(target, v.nextSeq)}
}

// acknowledge ends the probe that m answers, or passes the answer on to the
// daemon that asked for it.
func (v *View) acknowledge(from *host, m Message) []Message {
	if i := slices.IndexFunc(v.probes, func(p probe) bool { return p.seq == m.Seq }); i >= 0 {
		p := v.probes[i]
		switch {
		case m.Target == 0 && p.target == from.key:
			v.reached(from)
		case m.Target == p.target:
			// A helper reached the target: only the own path is bad.
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
	ack := v.message(Ack, r.askerSeq, r.asker, r.target)
	ack.Target = r.target
	return []Message{ack}
}
