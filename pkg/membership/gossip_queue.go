package membership

import "slices"

// gossipQueue holds the keys of hosts whose state is to be gossiped, those sent
// least often first, so that in a burst new updates do not wait behind old ones.
// The state itself is read when a message is built, so messages always carry the
// latest one.
type gossipQueue struct {
	// remaining maps each key to its number of remaining sends. byRemaining holds
	// a queue of keys for each such number; entries whose number no longer
	// matches remaining are stale and skipped.
	remaining   map[uint64]int
	byRemaining [][]uint64
}

// add schedules the state of key to be sent the given number of times.
func (q *gossipQueue) add(key uint64, sends int) {
	if q.remaining[key] != sends {
		q.push(key, sends)
	}
}

func (q *gossipQueue) push(key uint64, sends int) {
	q.remaining[key] = sends
	for len(q.byRemaining) <= sends {
		q.byRemaining = append(q.byRemaining, nil)
	}
	q.byRemaining[sends] = append(q.byRemaining[sends], key)
}

// countDuplicate records that another daemon sent the same state, which saves
// one send. The last send is never saved.
func (q *gossipQueue) countDuplicate(key uint64) {
	if remaining := q.remaining[key]; remaining > 1 {
		q.push(key, remaining-1)
	}
}

// pop returns up to n distinct keys and counts one send for each.
func (q *gossipQueue) pop(n int) []uint64 {
	var popped []uint64
	for level := len(q.byRemaining) - 1; level > 0; level-- {
		for len(q.byRemaining[level]) > 0 && len(popped) < n {
			key := q.byRemaining[level][0]
			q.byRemaining[level] = q.byRemaining[level][1:]
			if q.remaining[key] == level && !slices.Contains(popped, key) {
				popped = append(popped, key)
			}
		}
	}
	for _, key := range popped {
		if remaining := q.remaining[key]; remaining > 1 {
			q.push(key, remaining-1)
		} else {
			delete(q.remaining, key)
		}
	}
	return popped
}
