package confsync

import (
	"context"
	"time"
)

// listGatherTime is how long a new relay waits after the first list for the lists of
// the other prefixes. All are requested at the same time, and answers take a few
// milliseconds. A longer wait would use up much of the two seconds that a change may take.
const listGatherTime = 50 * time.Millisecond

const (
	// reconcileAttempts is the maximum number of comparisons with a daemon that fails. A
	// restarted daemon and this one refuse each other until they have each other's new
	// keys, usually within half a second, from the daemon's entry or registration.Lookup.
	reconcileAttempts = 5
	// reconcileRetryDelay is the delay between two attempts.
	reconcileRetryDelay = 300 * time.Millisecond
	// relayEstablishTime is how long a relay counts as new after it has started to
	// reconcile its domain: the duration of all attempts. Until then other domains do not
	// rely on it to have distributed the objects that it holds.
	relayEstablishTime = reconcileAttempts * reconcileRetryDelay
)

// reconcileDomain compares the replica with all daemons of this daemon's domain after the
// prefixes are listed; listedC receives a value for each list. A new relay may hold changes
// that no other daemon of its domain has: it may have listed them when it started, or
// received them before the former relay's push was interrupted. Its lists then contain
// nothing new to push, so the changes would wait for the periodic comparisons.
func (s *Syncer) reconcileDomain(ctx context.Context, listedC <-chan struct{}) {
	for missing := len(s.config.Prefixes); missing > 0; {
		lists := waitForLists(ctx, listedC, missing)
		if lists == 0 {
			return
		}
		missing -= lists
		s.compareTree(s.ownDomainAddresses(), reconcileAttempts)
	}
}

// waitForLists waits for one list and for those that follow it within listGatherTime, up
// to maxLists. It returns their number, or 0 if the context ended before the first.
func waitForLists(ctx context.Context, listedC <-chan struct{}, maxLists int) int {
	select {
	case <-ctx.Done():
		return 0
	case <-listedC:
	}
	pause := time.NewTimer(listGatherTime)
	defer pause.Stop()
	for lists := 1; lists < maxLists; lists++ {
		select {
		case <-ctx.Done():
			return lists
		case <-pause.C:
			return lists
		case <-listedC:
		}
	}
	return maxLists
}

// compareTree compares the replica with the daemons at the addresses: with the first of
// each group, which then compares its replica with the rest of the group. A failed
// comparison is retried, up to the given number of attempts in total.
func (s *Syncer) compareTree(addresses []string, attempts int) {
	s.callForwarders(treeCall{
		timeout: forwarderTimeout,
		forward: s.compareGroup,
		retry:   func(forwarder string) { s.retryCompare(forwarder, attempts-1) },
	}, splitIntoGroups(addresses, fanout))
}

// compareGroup compares the replica with the forwarder, asks it to compare with the
// others, and reports whether both succeeded. timeout limits the first call.
func (s *Syncer) compareGroup(forwarder string, others []string, timeout time.Duration) bool {
	_, err := s.exchange(s.backgroundCtx, forwarder, timeout, propagateToList)
	if err == nil && len(others) > 0 {
		_, err = s.call(s.backgroundCtx, forwarder, KindCompare, compareMessage{Addresses: others})
	}
	if err != nil {
		s.recordPushFailure(forwarder, err)
	}
	return err == nil
}

// retryCompare retries the comparison with a daemon that failed, after a delay, up to
// attempts times.
func (s *Syncer) retryCompare(address string, attempts int) {
	if attempts <= 0 {
		return
	}
	time.AfterFunc(reconcileRetryDelay, func() {
		if s.backgroundCtx.Err() != nil {
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
	if err := checkAddresses(m.Addresses); err != nil {
		return err
	}
	if len(m.Addresses) == 0 {
		m.Addresses = s.ownDomainAddresses()
	}
	s.compareTree(m.Addresses, reconcileAttempts)
	return nil
}
