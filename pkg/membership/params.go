package membership

import "time"

// Params holds the protocol parameters of a View.
type Params struct {
	// Period is the interval between probes.
	Period time.Duration
	// DirectTimeout is how long a probe waits before indirect probes are
	// requested. Hosts within a region are 1.5 ms apart; the rest of the time
	// allows for scheduling delays on busy hosts.
	DirectTimeout time.Duration
	// ProbeTimeout is how long a probe waits, indirect probes included, before
	// its target is suspected.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected host has to refute the suspicion.
	// It covers the gossip of the suspicion to the host and of the refutation
	// back.
	SuspicionTimeout time.Duration
	// ForgetAfter is how long a host that is not in the roster is kept.
	ForgetAfter time.Duration
	// PathBadDuration is how long HostState.PathBad stays set after a failed
	// direct probe.
	PathBadDuration time.Duration
	// Partners is the number of hosts that a daemon probes in rotation.
	Partners int
	// Bridges is how many daemons of each domain probe other domains; the others
	// probe their own domain only. It reduces traffic between domains where that
	// is expensive. 0 means that all daemons probe all domains.
	Bridges int
	// PriorityProbePeriod is the shortest interval between probes of one priority
	// host, see View.SetPriorityHosts.
	PriorityProbePeriod time.Duration
	// IndirectProbers is the number of hosts asked for an indirect probe.
	IndirectProbers int
	// RandomProbeEvery sends every n-th probe to a random host, dead ones
	// included, so that the view converges again after a partition.
	RandomProbeEvery int
}

// DefaultParams returns the defaults; docs/decisions/membership.md has the
// measurements behind them.
func DefaultParams() Params {
	return Params{
		Period:           time.Second,
		DirectTimeout:    400 * time.Millisecond,
		ProbeTimeout:     time.Second,
		SuspicionTimeout: 5 * time.Second,
		ForgetAfter:      time.Minute,
		PathBadDuration:  15 * time.Second,
		Partners:         8,
		// With DirectTimeout, this limits the time until callers learn that a
		// home has exited to about half a second.
		PriorityProbePeriod: 250 * time.Millisecond,
		IndirectProbers:     2,
		RandomProbeEvery:    8,
	}
}

// DomainParams returns the values for fleets with expensive traffic between
// failure domains: each daemon has three partners in its own domain, and two
// daemons of each domain probe those of the other domains.
func DomainParams() Params {
	p := DefaultParams()
	p.Partners, p.Bridges = 3, 2
	return p
}

const (
	// pausePeriods is the number of periods between two ticks beyond which this
	// process is assumed to have been paused.
	pausePeriods = 2
	// gracePeriods is the number of periods after a pause in which no host is
	// suspected, so that messages queued during the pause can be processed.
	gracePeriods = 2
	// isolationPeriods is the number of periods without any message after which
	// this daemon counts as isolated. Its failed probes are then no evidence
	// against other hosts.
	isolationPeriods = 3
	// maxPending bounds each of the pending probes, relayed probes and urgent
	// probes.
	maxPending = 64
	// recoveryPeriods is the number of periods after a dead host comes back in
	// which recoveryProbes dead hosts are probed per period, since a partition
	// has probably ended. Without these probes 1,600 daemons had not converged
	// 180 s after a partition of one domain, because most learned too late that
	// others considered them dead.
	recoveryPeriods = 10
	recoveryProbes  = 2
	// maxReprobes bounds the locally suspected hosts probed again per period.
	maxReprobes = 4
	// retransmitFactor times the decimal logarithm of the number of daemons is
	// the number of times that each daemon sends an update.
	retransmitFactor = 4
)
