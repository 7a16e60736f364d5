package peer

import "sync/atomic"

// counters are the totals of a node.
type counters struct {
	dials, dialErrors, accepted, calls, served, refused, panics, messages atomic.Uint64
}

// Stats are totals since Listen and the present number of connections.
type Stats struct {
	// Outgoing and Incoming are connections that are open now.
	Outgoing, Incoming int
	// Running is the number of handlers that run now.
	Running int
	// Dials counts handshakes begun here, DialErrors those that failed.
	Dials, DialErrors uint64
	// Accepted counts handshakes accepted from peers.
	Accepted uint64
	// Calls counts calls made, Served requests handled, Refused requests
	// answered without a handler, Panics handlers that panicked.
	Calls, Served, Refused, Panics uint64
	// Messages counts messages received.
	Messages uint64
}

// Stats returns the totals of the node.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	s := Stats{Outgoing: len(n.outgoing), Incoming: len(n.incoming), Running: n.running}
	n.mu.Unlock()
	c := &n.counters
	s.Dials, s.DialErrors, s.Accepted = c.dials.Load(), c.dialErrors.Load(), c.accepted.Load()
	s.Calls, s.Served, s.Refused = c.calls.Load(), c.served.Load(), c.refused.Load()
	s.Panics, s.Messages = c.panics.Load(), c.messages.Load()
	return s
}

// Traffic returns the UDP payload bytes sent and received so far over the open
// outgoing connection to addr, zeros if there is none.
func (n *Node) Traffic(addr string) (sent, received uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.outgoing[addr]
	if c == nil || !c.dialled() || c.err != nil {
		return 0, 0
	}
	stats := c.conn.ConnectionStats()
	return stats.BytesSent, stats.BytesReceived
}
