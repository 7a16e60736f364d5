package membership

import "time"

// Params are the time constants of a View.
type Params struct {
	// Period is the time between probes.
	Period time.Duration
	// DirectTimeout is how long a probe waits before others are asked. Hosts
	// are 1.5 ms apart within a region; the rest is scheduling on busy hosts.
	DirectTimeout time.Duration
	// ProbeTimeout is how long a probe waits before its target is suspected.
	ProbeTimeout time.Duration
	// Suspicion is how long a suspected host has to refute. It covers the
	// spread of the suspicion to the host and of the refutation back.
	Suspicion time.Duration
	// Forget is how long a host outside the roster is kept.
	Forget time.Duration
	// PathBad is how long a failed direct probe counts against the path.
	PathBad time.Duration
	// Partners is the number of hosts that a daemon probes in turn.
	Partners int
	// Bridges is how many daemons of each domain probe other domains; the others
	// probe their own domain only. It saves bytes between domains where these
	// are dear. 0 means that all daemons probe all domains.
	Bridges int
	// CompanionPeriod is the time between probes of one companion, see
	// View.SetCompanions.
	CompanionPeriod time.Duration
	// Helpers is the number of hosts asked for an indirect probe.
	Helpers int
	// RandomEvery makes each n-th probe go to any host, dead ones included:
	// this heals partitions.
	RandomEvery int
}

// DefaultParams returns the values measured in docs/decisions/membership.md.
func DefaultParams() Params {
	return Params{
		Period:        time.Second,
		DirectTimeout: 400 * time.Millisecond,
		ProbeTimeout:  time.Second,
		Suspicion:     5 * time.Second,
		Forget:        time.Minute,
		PathBad:       15 * time.Second,
		Partners:      8,
		// A third of DirectTimeout and the time that an answer takes: callers are
		// told within about half a second that a home has ended.
		CompanionPeriod: 250 * time.Millisecond,
		Helpers:         2,
		RandomEvery:     8,
	}
}

// DomainParams returns the values for failure domains between which bytes are
// dear: each daemon has a few partners in its own domain, and two daemons of each
// domain probe those of the others.
func DomainParams() Params {
	p := DefaultParams()
	p.Partners, p.Bridges = 3, 2
	return p
}

const (
	// pauseGap is the number of periods between two ticks that means that
	// this process was frozen.
	pauseGap = 2
	// gracePeriods after a pause suspect nobody, until messages that waited
	// during the pause and their answers have been seen.
	gracePeriods = 2
	// isolationPeriods without any message mean that this daemon is cut off
	// and its failed probes say nothing about others.
	isolationPeriods = 3
	// maxPending bounds probes, relayed probes and urgent probes in progress.
	maxPending = 64
	// recoveryPeriods after a dead host came back, recoveryProbes other dead
	// hosts are probed each period: probably a partition has ended. Without
	// this 1,600 daemons had not healed 180 s after a cut of one domain,
	// because most heard too late that others took them for dead.
	recoveryPeriods = 10
	recoveryProbes  = 2
	// maxReprobes bounds the own suspects that are probed again in a period.
	maxReprobes = 4
	// sendFactor times the decimal logarithm of the fleet is how often a
	// rumour is sent by each daemon.
	sendFactor = 4
)
