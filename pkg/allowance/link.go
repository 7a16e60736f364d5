package allowance

import "time"

const (
	// messageSpacing is the least time between two messages to another daemon.
	messageSpacing = 10 * time.Millisecond
	// selfSpacing is the same for the daemon itself.
	selfSpacing = time.Millisecond
	// callTimeout is how long a reply is waited for.
	callTimeout = 250 * time.Millisecond
	// candidateRetry is how soon to ask a daemon again that is not the grantor yet.
	candidateRetry = 30 * time.Millisecond
	// maxBackoff bounds the time between messages while none is answered.
	maxBackoff = 250 * time.Millisecond
	// awayLifetime is how long after the last message a grantor that did not answer is taken to
	// be away. While requests arrive, the next message is sent within 600 ms. A daemon
	// without requests sends none, so it does not learn of a new grantor.
	awayLifetime = time.Second
	// avoidTime is how long a grantor that did not answer is not asked again, unless no
	// other daemon is known.
	avoidTime = time.Second
	// startTime is how long after the first answer of a grantor requests wait up to
	// maxStartWait for a token.
	startTime    = 2 * time.Second
	maxStartWait = time.Second
	// maxRedirects is the number of redirects that are followed at once. Two daemons that
	// name each other would otherwise be asked in turn without a pause.
	maxRedirects = 3
	// answersPerCandidate is the number of answers of a daemon that neither grants nor names
	// a grantor before the next one is asked.
	answersPerCandidate = 16
)

// Candidate is a daemon that is or may become the grantor.
type Candidate struct {
	// ID is the id of the process, Address its address for other daemons.
	ID, Address string
}

// link finds the grantor of a shard for an entry daemon.
type link struct {
	self string
	// holder is the grantor, as far as known.
	holder Candidate
	// avoided is the grantor that did not answer at avoidedAt.
	avoided   string
	avoidedAt time.Duration
	// index selects the candidate to ask.
	index     int
	redirects int
	failures  int
	// failingSince is when the first message without an answer of a grantor was sent, since
	// the last one with an answer; 0 while a grantor answers.
	failingSince time.Duration
	// sentAt is the time of the last message.
	sentAt, nextAt time.Duration
	// firstGrantAt is the time of the first answer of a grantor, 0 before it.
	firstGrantAt time.Duration
	// leaseVersion is the highest version seen of the grantor's lease, leaseSeenAt when it
	// was first seen.
	leaseVersion uint64
	leaseSeenAt  time.Duration
}

func (l *link) failing() bool { return l.failingSince > 0 }

// away reports whether no grantor has answered for so long that waiting is pointless.
func (l *link) away(now time.Duration) bool {
	return l.failing() && now-l.failingSince >= l.maxWait(now) && now-l.sentAt < awayLifetime
}

// maxWait returns how long a request waits for a token. It is longer at the start of the
// daemon: after a loss of power of all hosts, a grantor is there within a second, and the
// buckets must fill for the requests that have arrived meanwhile.
func (l *link) maxWait(now time.Duration) time.Duration {
	if l.firstGrantAt == 0 || now-l.firstGrantAt < startTime {
		return maxStartWait
	}
	return maxWait
}

func (l *link) earliest(due time.Duration) time.Duration { return max(due, l.nextAt) }

// target returns the daemon to ask.
func (l *link) target(now time.Duration, candidates func() []Candidate) (Candidate, bool) {
	if l.holder.ID != "" {
		return l.holder, true
	}
	list := candidates()
	usable := make([]Candidate, 0, len(list))
	for _, c := range list {
		if c.ID != l.avoided || now-l.avoidedAt >= avoidTime {
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		usable = list
	}
	if len(usable) == 0 {
		return Candidate{}, false
	}
	return usable[l.index%len(usable)], true
}

// describe adds to a message what its receiver may need to become the grantor.
func (l *link) describe(now time.Duration, r *Request) {
	if !l.failing() {
		return
	}
	r.Unreachable = l.avoided
	if l.leaseVersion > 0 {
		r.SeenVersion, r.SeenAgeMs = l.leaseVersion, uint64(max(now-l.leaseSeenAt, 0)/time.Millisecond)
	}
}

func (l *link) sent(now time.Duration, target Candidate) {
	spacing := messageSpacing
	if target.ID == l.self {
		spacing = selfSpacing
	}
	l.sentAt, l.nextAt = now, max(l.nextAt, now+spacing)
}

func (l *link) granted(now time.Duration, by Candidate, leaseVersion uint64) {
	l.holder, l.avoided, l.index, l.redirects, l.failures, l.failingSince = by, "", 0, 0, 0, 0
	if l.firstGrantAt == 0 {
		l.firstGrantAt = now
	}
	if leaseVersion > l.leaseVersion {
		l.leaseVersion, l.leaseSeenAt = leaseVersion, now
	}
}

// redirected handles an answer of a daemon that grants nothing.
func (l *link) redirected(now time.Duration, by Candidate, r *Reply) {
	if !l.failing() {
		l.failingSince = now
	}
	if l.holder.ID == by.ID {
		l.holder = Candidate{}
	}
	l.redirects++
	switch {
	case r.Status == Unable:
		l.index++
		l.nextAt = max(l.nextAt, now+candidateRetry)
	case r.Holder != "" && r.Holder != by.ID && (r.Holder != l.avoided || now-l.avoidedAt >= avoidTime):
		l.holder = Candidate{ID: r.Holder, Address: r.HolderAddress}
		if l.redirects > maxRedirects {
			l.nextAt = max(l.nextAt, now+min(time.Duration(l.redirects)*candidateRetry, maxBackoff))
		}
	default:
		if l.redirects%answersPerCandidate == 0 {
			l.index++
		}
		wait := max(millisOf(r.RetryMs), candidateRetry)
		l.nextAt = max(l.nextAt, now+min(wait, maxBackoff))
	}
}

// failed handles a message without an answer.
func (l *link) failed(now time.Duration, target Candidate, sentAt time.Duration) {
	if !l.failing() {
		l.failingSince = max(sentAt, 1)
	}
	if l.holder.ID == target.ID {
		l.holder, l.index = Candidate{}, 0
		l.avoided, l.avoidedAt = target.ID, now
	} else {
		l.index++
	}
	l.failures++
	l.nextAt = max(l.nextAt, now+min(time.Duration(l.failures-1)*candidateRetry, maxBackoff))
}
