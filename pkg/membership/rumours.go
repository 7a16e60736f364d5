package membership

import "slices"

// rumours holds the keys whose state is still to be passed on, those sent least
// often first: in a storm a new rumour must not wait behind old ones. The state
// itself is read when a message is built, so that a newer one replaces it.
type rumours struct {
	// left is how often each key is still to be sent, levels the keys by that
	// number. A key that has moved on may still stand at an earlier level.
	left   map[uint64]int
	levels [][]uint64
}

// add asks for the state of key to be sent the given number of times.
func (r *rumours) add(key uint64, sends int) {
	if r.left[key] != sends {
		r.put(key, sends)
	}
}

func (r *rumours) put(key uint64, sends int) {
	r.left[key] = sends
	for len(r.levels) <= sends {
		r.levels = append(r.levels, nil)
	}
	r.levels[sends] = append(r.levels[sends], key)
}

// heard tells that another daemon passed on the same state: it needs fewer
// further sends. The last one is kept.
func (r *rumours) heard(key uint64) {
	if left := r.left[key]; left > 1 {
		r.put(key, left-1)
	}
}

// take returns up to n keys, each once, and counts a send of each.
func (r *rumours) take(n int) []uint64 {
	var taken []uint64
	for level := len(r.levels) - 1; level > 0; level-- {
		for len(r.levels[level]) > 0 && len(taken) < n {
			key := r.levels[level][0]
			r.levels[level] = r.levels[level][1:]
			if r.left[key] == level && !slices.Contains(taken, key) {
				taken = append(taken, key)
			}
		}
	}
	for _, key := range taken {
		if left := r.left[key]; left > 1 {
			r.put(key, left-1)
		} else {
			delete(r.left, key)
		}
	}
	return taken
}
