package ingress

// Arriving returns the number of connections on which a request is arriving.
func (s *Server) Arriving() int {
	n := 0
	for _, c := range s.connections() {
		c.mu.Lock()
		if !c.requestDeadline.IsZero() {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// ArrivedBytes returns how many bytes have arrived on the open connections.
func (s *Server) ArrivedBytes() int64 {
	n := int64(0)
	for _, c := range s.connections() {
		n += c.transport.arrived()
	}
	return n
}
