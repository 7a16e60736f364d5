package peer

import "net"

// filteredConn drops packets for which drop returns true. It is for tests.
type filteredConn struct {
	net.PacketConn
	drop func(from, to string) bool
}

// filterConn wraps the socket with the filter. Without a filter it returns the
// socket itself, so that quic-go can use batched reads and segmentation offload.
func filterConn(socket *net.UDPConn, drop func(from, to string) bool) net.PacketConn {
	if drop == nil {
		return socket
	}
	return &filteredConn{PacketConn: socket, drop: drop}
}

// WriteTo implements net.PacketConn.
func (c *filteredConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.drop(c.LocalAddr().String(), to.String()) {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

// ReadFrom implements net.PacketConn.
func (c *filteredConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(b)
		if err != nil || !c.drop(from.String(), c.LocalAddr().String()) {
			return n, from, err
		}
	}
}
