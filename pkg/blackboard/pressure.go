package blackboard

import "time"

const (
	// pressureSpan is over how long the share of unserved requests is taken, in
	// parts of pressurePart: that of the users' rule about the upstreams that must
	// share the work.
	pressureSpan = 2 * time.Second
	pressurePart = 250 * time.Millisecond
	// pressureShare is the share of unserved requests from which work is spread.
	// The rule speaks of a tenth; two homes may see different shares.
	pressureShare = 0.07
	// leastRequests is from how many requests on a share is taken.
	leastRequests = 4
)

const pressureParts = int(pressureSpan / pressurePart)

// pressure counts the requests of the last seconds and those that failed.
type pressure struct {
	parts [pressureParts]struct{ requests, unserved int }
	at    int64
}

// add counts a request that has ended.
func (p *pressure) add(now time.Time, served bool) {
	p.advance(now)
	part := &p.parts[p.at%int64(pressureParts)]
	part.requests++
	if !served {
		part.unserved++
	}
}

// high reports whether many requests of the last seconds were not served.
func (p *pressure) high(now time.Time) bool {
	p.advance(now)
	requests, unserved := 0, 0
	for _, part := range p.parts {
		requests += part.requests
		unserved += part.unserved
	}
	return requests >= leastRequests && float64(unserved) >= pressureShare*float64(requests)
}

// advance forgets the parts that have left the span.
func (p *pressure) advance(now time.Time) {
	at := now.UnixNano() / int64(pressurePart)
	if at-p.at >= int64(pressureParts) || at < p.at {
		*p = pressure{at: at}
		return
	}
	for p.at < at {
		p.at++
		p.parts[p.at%int64(pressureParts)] = struct{ requests, unserved int }{}
	}
}

// Ended counts a request that this daemon served, or could not serve.
func (s *Service) Ended(now time.Time, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pressure.add(now, served)
}
