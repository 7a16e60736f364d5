package peer

import "sync/atomic"

// counters are the totals of a node.
type counters struct {
	dials, dialErrors, accepted, calls, served, refused, panics, messages atomic.Uint64
}

// Stats holds totals since Listen and current numbers of connections and
// handlers.
type Stats struct {
	// Outgoing and Incoming are the numbers of open connections.
	Outgoing, Incoming int
	// Running is the number of running handlers.
	Running int
	// Dials counts started dials, DialErrors failed ones.
	Dials, DialErrors uint64
	// Accepted counts incoming connections that were admitted.
	Accepted uint64
	// Calls counts calls made, Served requests passed to a handler, Refused
	// refused requests, Panics handlers that panicked.
	Calls, Served, Refused, Panics uint64
	// Messages counts messages received.
	Messages uint64
}

// Stats returns the statistics of the node.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	s := Stats{Outgoing: len(n.outgoing), Incoming: len(n.incoming), Running: n.activeHandlers}
	n.mu.Unlock()
	c := &n.counters
	s.Dials, s.DialErrors, s.Accepted = c.dials.Load(), c.dialErrors.Load(), c.accepted.Load()
	s.Calls, s.Served, s.Refused = c.calls.Load(), c.served.Load(), c.refused.Load()
	s.Panics, s.Messages = c.panics.Load(), c.messages.Load()
	return s
}

// ConnectionBytes returns the UDP payload bytes sent and received over the open
// outgoing connection to addr, or zeros if there is none.
func (n *Node) ConnectionBytes(addr string) (sent, received uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.outgoing[addr]
	if c == nil || !c.dialled() || c.err != nil {
		return 0, 0
	}
	stats := c.conn.ConnectionStats()
	return stats.BytesSent, stats.BytesReceived
}
