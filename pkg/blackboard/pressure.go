package blackboard

import "time"

const (
	// pressureSpan is over how long the share of unserved requests is taken, in
	// parts of pressurePart: that of the users' rule about the upstreams that must
	// share the work.
	pressureSpan = 2 * time.Second
	pressurePart = 250 * time.Millisecond
	// pressureShare is the share of unserved requests at all homes from which work
	// is spread. The rule speaks of a tenth; what other homes report is some
	// hundred milliseconds old.
	pressureShare = 0.08
	// leastUnserved is from how many unserved requests on a share means anything:
	// a service with twenty requests a second has three in a hundred lost by chance.
	leastUnserved = 3
	// pressureFades is for how long the report of another home counts.
	pressureFades = time.Second
)

const pressureParts = int(pressureSpan / pressurePart)

// pressure counts the requests of the last seconds and those that failed.
type pressure struct {
	parts [pressureParts]Tally
	// origin is where the parts begin, by the steady clock: the time of day may jump.
	origin time.Time
	// at is the number of the present part since the origin.
	at int64
	// others is what the other homes last reported, by home.
	others map[string]reportedTally
}

// Tally is how many requests have ended in some seconds, and how many of them
// were not served.
type Tally struct {
	_        struct{} `cbor:",toarray"`
	Requests int
	Unserved int
}

// reportedTally is what another home reported, and when.
type reportedTally struct {
	Tally
	at time.Time
}

func (e *Tally) add(o Tally) {
	e.Requests += o.Requests
	e.Unserved += o.Unserved
}

// add counts a request that has ended.
func (p *pressure) add(now time.Time, served bool) {
	p.advance(now)
	part := &p.parts[p.at%int64(pressureParts)]
	part.Requests++
	if !served {
		part.Unserved++
	}
}

// merge takes the report of another home.
func (p *pressure) merge(now time.Time, home string, e Tally) {
	if p.others == nil {
		p.others = map[string]reportedTally{}
	}
	p.others[home] = reportedTally{e, now}
}

// own returns what this home counted.
func (p *pressure) own(now time.Time) Tally {
	p.advance(now)
	var sum Tally
	for _, part := range p.parts {
		sum.add(part)
	}
	return sum
}

// high reports whether many requests of the last seconds were not served.
func (p *pressure) high(now time.Time) bool {
	sum := p.own(now)
	for home, e := range p.others {
		if now.Sub(e.at) > pressureFades {
			delete(p.others, home)
			continue
		}
		sum.add(e.Tally)
	}
	return sum.Unserved >= leastUnserved && float64(sum.Unserved) >= pressureShare*float64(sum.Requests)
}

// advance forgets the parts that have left the span. A time before the present part
// counts as in it: callers take the time before they wait for the lock of the service.
func (p *pressure) advance(now time.Time) {
	if p.origin.IsZero() {
		p.origin = now
	}
	at := int64(now.Sub(p.origin) / pressurePart)
	if at-p.at >= int64(pressureParts) {
		p.parts, p.at = [pressureParts]Tally{}, at
		return
	}
	for p.at < at {
		p.at++
		p.parts[p.at%int64(pressureParts)] = Tally{}
	}
}

// Ended counts a request that this daemon served, or could not serve.
func (s *Service) Ended(now time.Time, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pressure.add(now, served)
}
