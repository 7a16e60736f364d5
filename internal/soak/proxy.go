package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards loopback connections to one address and injects faults on demand.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  faultKind
	conns map[*net.TCPConn]struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]struct{}{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.resetConns()
}

// setMode sets the fault to inject; the empty kind means none.
func (p *proxy) setMode(mode faultKind) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	// A connection whose bytes were dropped cannot continue after the fault, because
	// its stream has gaps.
	if mode == reset || mode == "" {
		p.resetConns()
	}
}

func (p *proxy) currentMode() faultKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) resetConns() {
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

func (p *proxy) handle(clientConn *net.TCPConn) {
	if p.currentMode() == reset {
		abort(clientConn)
		return
	}
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(clientConn)
		return
	}
	upstreamConn := c.(*net.TCPConn)
	p.mu.Lock()
	p.conns[clientConn], p.conns[upstreamConn] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(upstreamConn, clientConn, false) })
	wg.Go(func() { p.forward(clientConn, upstreamConn, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, clientConn)
	delete(p.conns, upstreamConn)
	p.mu.Unlock()
}

const (
	// chunkBytes is the size of the copy buffer.
	chunkBytes = 16 << 10
	// chunkDelay is the delay of each chunk. It exceeds the duration of an attempt at
	// a healthy upstream.
	chunkDelay = 150 * time.Millisecond
)

// forward copies from one connection to the other until either ends, then closes both.
func (p *proxy) forward(to, from *net.TCPConn, fromUpstream bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			switch mode := p.currentMode(); {
			case mode == silence, mode == cutAnswers && fromUpstream:
				n = 0
			case mode == delay:
				time.Sleep(chunkDelay)
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
