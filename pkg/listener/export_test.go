package listener

// Arriving returns the number of connections on which a request is arriving.
func (l *Listener) Arriving() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		c.mu.Lock()
		if c.phase == phaseReading {
			n++
		}
		c.mu.Unlock()
	}
	return n
}
