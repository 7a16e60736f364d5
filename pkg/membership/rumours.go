package membership

// rumours is the queue of keys whose state is still to be passed on. The state
// itself is read when a message is built, so that a newer one replaces it.
type rumours struct {
	queue []uint64
	left  map[uint64]int
}

func (r *rumours) len() int { return len(r.queue) }

// add asks for the state of key to be sent the given number of times.
func (r *rumours) add(key uint64, sends int) {
	if r.left[key] == 0 {
		r.queue = append(r.queue, key)
	}
	r.left[key] = sends
}

// next returns the key that has waited longest. The queue must not be empty.
func (r *rumours) next() uint64 {
	key := r.queue[0]
	r.queue = r.queue[1:]
	if r.left[key]--; r.left[key] > 0 {
		r.queue = append(r.queue, key)
	} else {
		delete(r.left, key)
	}
	return key
}
