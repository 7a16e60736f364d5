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
