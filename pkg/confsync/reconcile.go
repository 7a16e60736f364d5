package confsync

import (
	"context"
	"time"
)

// listPause is how long a new relay waits after a first list for those of the
// other prefixes. They are asked for at the same moment, and answers take some
// milliseconds; more would be felt in the two seconds that a change may take.
const listPause = 50 * time.Millisecond

const (
	// reconcileAttempts is how often a daemon that fails is compared with. One that has
	// started again refuses this daemon, or is refused, until each has the other's new
	// key: mostly within half a second, by its entry or registration.Lookup.
	reconcileAttempts = 5
	// reconcileRetry is the pause between two attempts.
	reconcileRetry = 300 * time.Millisecond
	// settleTime is how long after that a relay counts as new, so that other domains
	// do not rely on what it says it holds: the time of all attempts.
	settleTime = reconcileAttempts * reconcileRetry
)

// reconcileDomain compares copies with all daemons of the own domain once the prefixes
// are listed, as listed tells. A relay that has just taken its role may hold changes
// that no other daemon of its domain has: it may have listed them when it started, or
// got them before the push of the former relay was broken off. Its lists show nothing
// new then, and pushes alone would leave these changes to the periodic comparisons.
func (s *Syncer) reconcileDomain(ctx context.Context, listed <-chan struct{}) {
	for missing := len(s.config.Prefixes); missing > 0; {
		lists := awaitLists(ctx, listed, missing)
		if lists == 0 {
			return
		}
		missing -= lists
		s.compareTree(s.domainAddresses(), reconcileAttempts)
	}
}

// awaitLists waits for a list and for those that follow it within listPause, most in
// all. It returns how many there were, 0 if the context ended before the first.
func awaitLists(ctx context.Context, listed <-chan struct{}, most int) int {
	select {
	case <-ctx.Done():
		return 0
	case <-listed:
	}
	pause := time.NewTimer(listPause)
	defer pause.Stop()
	for lists := 1; lists < most; lists++ {
		select {
		case <-ctx.Done():
			return lists
		case <-pause.C:
			return lists
		case <-listed:
		}
	}
	return most
}

// compareTree compares copies with the daemons at the addresses: with the first of
// each group, which then compares with the rest of the group. Those that fail are
// compared with up to attempts times.
func (s *Syncer) compareTree(addresses []string, attempts int) {
	s.callHeads(tree{
		timeout: headTimeout,
		reach:   s.compareGroup,
		retry:   func(head string) { s.retryCompare(head, attempts-1) },
	}, groups(addresses, fanout))
}

// compareGroup compares copies with one daemon, has it compare with the others, and
// says whether it answered. timeout limits the first call.
func (s *Syncer) compareGroup(head string, others []string, timeout time.Duration) bool {
	_, err := s.exchange(s.background, head, timeout, spreadForward)
	if err == nil && len(others) > 0 {
		_, err = s.call(s.background, head, KindCompare, compareMessage{With: others})
	}
	if err != nil {
		s.pushFailed(head, err)
	}
	return err == nil
}

// retryCompare compares copies with a daemon that failed, after a pause, up to attempts
// times.
func (s *Syncer) retryCompare(address string, attempts int) {
	if attempts <= 0 {
		return
	}
	time.AfterFunc(reconcileRetry, func() {
		if s.background.Err() != nil {
			return
		}
		s.spawn(func() {
			if !s.compareGroup(address, nil, s.config.CallTimeout) {
				s.retryCompare(address, attempts-1)
			}
		})
	})
}

func (s *Syncer) handleCompare(body []byte) error {
	var m compareMessage
	if err := decode(body, &m); err != nil {
		return err
	}
	if err := checkAddresses(m.With); err != nil {
		return err
	}
	if len(m.With) == 0 {
		m.With = s.domainAddresses()
	}
	s.compareTree(m.With, reconcileAttempts)
	return nil
}
