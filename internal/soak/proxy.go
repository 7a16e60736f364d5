package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on loopback on to one address and misbehaves on demand.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  kind
	conns map[*net.TCPConn]struct{}
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: map[*net.TCPConn]struct{}{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// close ends the proxy and its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.resetAll()
}

// set changes how the proxy misbehaves; the empty kind is none.
func (p *proxy) set(mode kind) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	// Bytes that were swallowed are missing from the stream, so that a connection
	// that was silent does not go on when the fault ends.
	if mode == reset || mode == "" {
		p.resetAll()
	}
}

func (p *proxy) current() kind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a reset.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(c.(*net.TCPConn))
	}
}

func (p *proxy) handle(near *net.TCPConn) {
	if p.current() == reset {
		abort(near)
		return
	}
	c, err := net.Dial("tcp", p.to)
	if err != nil {
		abort(near)
		return
	}
	far := c.(*net.TCPConn)
	p.mu.Lock()
	p.conns[near], p.conns[far] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(far, near, false) })
	both.Go(func() { p.pass(near, far, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

const (
	// chunk is how many bytes are passed on at a time.
	chunk = 16 << 10
	// heldBack is how long a chunk waits under delay: more than an attempt at a
	// sound upstream takes.
	heldBack = 150 * time.Millisecond
)

// pass copies from one connection to the other until either ends, and ends both.
func (p *proxy) pass(to, from *net.TCPConn, answers bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			switch mode := p.current(); {
			case mode == silence, mode == cutAnswers && answers:
				n = 0
			case mode == delay:
				time.Sleep(heldBack)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
