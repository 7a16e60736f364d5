package blackboard

import (
	"maps"
	"slices"
	"strings"
	"time"

	"shallotglade/pkg/document"
)

// Upstream is this daemon's view of one upstream of a service.
type Upstream struct {
	ID      string
	Address string
	Domain  string
	Slots   int
	// Leaving is true if the membership list or the upstream itself announced that
	// the upstream is leaving. An upstream's own announcement stays in effect while
	// the list has the same id and incarnation.
	Leaving bool
	// Joined is when the upstream was added to a list that was not empty. It is zero
	// for upstreams of the first list.
	Joined time.Time
	// Incarnation distinguishes starts of the process under the same ID. It is 0 if
	// the ID is new at each start.
	Incarnation uint64
	// WarmUp is the rest of the upstream's slow phase after its start, as of the time
	// when it was listed; WarmUpUntil is the end of that phase. For an upstream
	// without an Incarnation, the phase is the document's warm-up time, counted from
	// Joined.
	WarmUp      time.Duration
	WarmUpUntil time.Time
	// Listed is when this daemon first saw the upstream.
	Listed time.Time
}

func staticUpstreams(list []document.StaticUpstream) []Upstream {
	out := make([]Upstream, len(list))
	for i, u := range list {
		out[i] = Upstream{ID: u.ID, Address: u.Address, Domain: u.Domain, Slots: u.Slots}
	}
	return out
}

// SetUpstreams replaces the list of upstreams, in any order. It has no effect if the
// document lists the upstreams.
func (s *Service) SetUpstreams(now time.Time, list []Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.document.Upstreams.Static) > 0 {
		return
	}
	s.setUpstreamsLocked(now, list)
	s.refreshOrDeferLocked(now)
}

// UpdateUpstreams changes some upstreams of the list: it adds or replaces those in listed
// and removes those whose ids are in removed. Its result equals that of SetUpstreams with
// the whole list, at a cost that grows with the changes. It has no effect before the first
// call of SetUpstreams, or if the document lists the upstreams.
func (s *Service) UpdateUpstreams(now time.Time, listed []Upstream, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed || len(s.document.Upstreams.Static) > 0 {
		return
	}
	firstList, changed := len(s.upstreams) == 0, false
	for _, u := range listed {
		i, known := s.upstreamIndexLocked(u.ID)
		if !known {
			s.upstreams = slices.Insert(s.upstreams, i, s.mergeUpstreamLocked(now, u, Upstream{}, false, firstList))
			s.detector.Add(now, u.ID)
			changed = true
			continue
		}
		merged := s.mergeUpstreamLocked(now, u, s.upstreams[i], true, firstList)
		changed = changed || merged != s.upstreams[i]
		s.upstreams[i] = merged
	}
	for _, id := range removed {
		i, known := s.upstreamIndexLocked(id)
		if !known {
			continue
		}
		s.upstreams = slices.Delete(s.upstreams, i, i+1)
		s.forgetUpstreamLocked(id)
		s.detector.Remove(id)
		s.reliability.Forget(id)
		changed = true
	}
	if changed {
		s.upstreamsChangedLocked(now)
		s.refreshOrDeferLocked(now)
	}
}

// upstreamIndexLocked returns the position of an upstream in the list, or the position at
// which it would be.
func (s *Service) upstreamIndexLocked(id string) (int, bool) {
	return slices.BinarySearchFunc(s.upstreams, id, func(u Upstream, id string) int { return strings.Compare(u.ID, id) })
}

func (s *Service) setUpstreamsLocked(now time.Time, list []Upstream) {
	s.listed = true
	firstList := len(s.upstreams) == 0
	previous := map[string]Upstream{}
	for _, u := range s.upstreams {
		previous[u.ID] = u
	}
	next := make([]Upstream, 0, len(list))
	for _, u := range list {
		old, ok := previous[u.ID]
		delete(previous, u.ID)
		next = append(next, s.mergeUpstreamLocked(now, u, old, ok, firstList))
	}
	for id := range previous {
		s.forgetUpstreamLocked(id)
	}
	slices.SortFunc(next, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	s.upstreams = next
	s.upstreamsChangedLocked(now)
	ids := make([]string, len(next))
	for i, u := range next {
		ids[i] = u.ID
	}
	s.detector.SetUpstreams(now, ids)
	s.reliability.Retain(ids)
}

// mergeUpstreamLocked returns the state of a listed upstream, given its previous state if
// known is true. firstList is true if there were no upstreams before.
func (s *Service) mergeUpstreamLocked(now time.Time, u, old Upstream, known, firstList bool) Upstream {
	u.Listed = now
	restarted := known && old.Incarnation != u.Incarnation
	switch {
	case known && !restarted:
		// The remaining warm-up time counts only when an incarnation is first listed.
		u.Joined, u.WarmUp, u.WarmUpUntil, u.Listed = old.Joined, old.WarmUp, old.WarmUpUntil, old.Listed
	case u.Incarnation != 0:
		// The membership list contains the remaining warm-up time.
		u.WarmUpUntil = now.Add(u.WarmUp)
	case !firstList:
		u.Joined = now
		s.detector.SetWarmUp(now, u.ID, now.Add(s.document.Upstreams.WarmUp))
	}
	if restarted {
		s.resetUpstreamLocked(now, u.ID)
	}
	s.forgetEarlierIncarnationLocked(u)
	if _, announced := s.announcedLeaving[u.ID]; announced {
		u.Leaving = true
	}
	if u.Slots == 0 {
		u.Slots = s.document.Upstreams.Slots
	}
	return u
}

// forgetUpstreamLocked drops the state of an upstream that is no longer listed, except
// what the detector and the reliability estimator hold.
func (s *Service) forgetUpstreamLocked(id string) {
	s.poison.Forget(id)
	delete(s.lastUsed, id)
	delete(s.deprioritized, id)
	delete(s.outcomeSources, id)
}

// upstreamsChangedLocked drops what depends on the former list of upstreams.
func (s *Service) upstreamsChangedLocked(now time.Time) {
	maps.DeleteFunc(s.pauses, func(_ string, p pause) bool { return !now.Before(p.until) })
	s.slotsByDomain = nil
}

// forgetEarlierIncarnationLocked drops the pause and the announcement of an earlier
// incarnation of a listed upstream.
func (s *Service) forgetEarlierIncarnationLocked(u Upstream) {
	if p, paused := s.pauses[u.ID]; paused && p.incarnation != u.Incarnation {
		delete(s.pauses, u.ID)
	}
	if incarnation, announced := s.announcedLeaving[u.ID]; announced && u.Incarnation > incarnation {
		delete(s.announcedLeaving, u.ID)
	}
}

// resetUpstreamLocked drops the state of an upstream that restarted under the same id.
func (s *Service) resetUpstreamLocked(now time.Time, id string) {
	s.poison.Forget(id)
	s.detector.Reset(now, id)
	s.reliability.Forget(id)
	delete(s.pauses, id)
}

// maxAnnouncements bounds the announcements of upstreams that are no longer listed.
const maxAnnouncements = 4096

// MarkLeaving records that an incarnation of an upstream announced that it is leaving. It
// reports whether this was not known before. The announcement ends only when a newer
// incarnation is listed. It is kept while the upstream is not listed, because a delayed
// call may write the removed entry once more. Without an incarnation it is not, because
// a restart could not be told from such an entry.
func (s *Service) MarkLeaving(now time.Time, id string, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, listed := s.upstreamIndexLocked(id)
	if !listed && incarnation == 0 || listed && s.upstreams[i].Incarnation > incarnation {
		return false
	}
	if known, announced := s.announcedLeaving[id]; announced && known >= incarnation {
		return false
	}
	s.trimAnnouncementsLocked()
	s.announcedLeaving[id] = incarnation
	if listed {
		s.upstreams[i].Leaving = true
		s.upstreamsChangedLocked(now)
		s.refreshOrDeferLocked(now)
	}
	return true
}

// trimAnnouncementsLocked drops the announcements of unlisted upstreams when there are
// too many.
func (s *Service) trimAnnouncementsLocked() {
	if len(s.announcedLeaving) < maxAnnouncements {
		return
	}
	for id := range s.announcedLeaving {
		if _, found := s.upstreamIndexLocked(id); !found {
			delete(s.announcedLeaving, id)
		}
	}
}

// pause is the time in which an incarnation of an upstream gets no requests.
type pause struct {
	incarnation uint64
	until       time.Time
}

// Pause stops requests of this daemon to an incarnation of an upstream until the given
// time. A later end that is already set stays.
func (s *Service) Pause(now time.Time, id string, incarnation uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauseLocked(now, id, incarnation, until)
}

func (s *Service) pauseLocked(now time.Time, id string, incarnation uint64, until time.Time) {
	i, found := s.upstreamIndexLocked(id)
	if !found || s.upstreams[i].Incarnation != incarnation || !until.After(s.pauses[id].until) {
		return
	}
	s.pauses[id] = pause{incarnation: incarnation, until: until}
	s.updateCandidateLocked(now, id)
}

// Paused reports whether this daemon sends an upstream nothing for now.
func (s *Service) Paused(now time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.pauses[id].until)
}

// Upstreams returns a copy of the list of upstreams.
func (s *Service) Upstreams() []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.upstreams)
}

// AddSlots adds the slots of the upstreams that are not leaving to byDomain, which
// maps failure domains to slot counts.
func (s *Service) AddSlots(byDomain map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slotsByDomain == nil {
		s.slotsByDomain = map[string]int{}
		for _, u := range s.upstreams {
			if !u.Leaving {
				s.slotsByDomain[u.Domain] += u.Slots
			}
		}
	}
	for domain, slots := range s.slotsByDomain {
		byDomain[domain] += slots
	}
}
