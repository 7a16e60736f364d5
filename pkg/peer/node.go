package peer

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

const (
	// keepAlive detects a dead peer while a call waits. It is shorter than a
	// third of maxSilence, so that two lost packets do not end a connection.
	keepAlive = 8 * time.Second
	// maxSilence ends a connection whose peer sends nothing.
	maxSilence = 25 * time.Second
	// initialWindow and maxWindow bound the data of one stream that waits at
	// the receiver; a connection may hold four times as much.
	initialWindow = 128 << 10
	maxWindow     = 1 << 20
	// maxMessageStreams bounds messages too large for a datagram per connection.
	maxMessageStreams = 32
	// sweepInterval is the resolution of Config.IdleTimeout.
	sweepInterval = time.Second
)

// Application error codes of connections.
const (
	codeGoAway  quic.ApplicationErrorCode = 1 // the reason holds the last stream accepted
	codeIdle    quic.ApplicationErrorCode = 2
	codeRefused quic.ApplicationErrorCode = 3
)

// codeCancelled resets the stream of a call that its caller gave up.
const codeCancelled quic.StreamErrorCode = 1

// Handler answers a call. The context ends when the caller cancels, its
// deadline passes or the connection breaks. The body belongs to the handler.
// A returned error reaches the caller as RemoteError, ErrRefused as ErrNotSent.
type Handler func(ctx context.Context, from Identity, body []byte) ([]byte, error)

// MessageHandler takes a message of Send. Messages of one connection are
// handled one after another; while a handler blocks, later ones may be lost.
type MessageHandler func(ctx context.Context, from Identity, body []byte)

// Node is the end point of one daemon. It is safe for concurrent use.
type Node struct {
	config    Config
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	quic      *quic.Config
	keys      atomic.Pointer[keys]
	ctx       context.Context
	stop      context.CancelFunc
	tasks     sync.WaitGroup

	mu       sync.Mutex
	handlers map[string]Handler
	messages map[string]MessageHandler
	outgoing map[string]*outgoing
	incoming map[*incoming]struct{}
	running  int
	// calls counts outgoing calls in progress.
	calls int
	// closing refuses incoming requests; closed refuses outgoing calls too.
	closing, closed bool
	// idle is signalled when running or calls falls to zero.
	idle sync.Cond

	counters counters
}

// Listen opens the UDP socket and accepts peers until Close.
func Listen(config Config) (*Node, error) {
	config.setDefaults()
	loaded, err := config.load()
	if err != nil {
		return nil, err
	}
	address, err := net.ResolveUDPAddr("udp", config.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "peer: listen address")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer: listen")
	}
	n := &Node{
		config: config, socket: socket, quic: quicConfig(config),
		handlers: map[string]Handler{}, messages: map[string]MessageHandler{},
		outgoing: map[string]*outgoing{}, incoming: map[*incoming]struct{}{},
	}
	n.idle.L = &n.mu
	n.keys.Store(loaded)
	n.ctx, n.stop = context.WithCancel(context.Background())
	var resetKey quic.StatelessResetKey
	if _, err := rand.Read(resetKey[:]); err != nil {
		return nil, errors.CombineErrors(err, socket.Close())
	}
	n.transport = &quic.Transport{Conn: filtered(socket, config.Drop), StatelessResetKey: &resetKey}
	n.listener, err = n.transport.Listen(&tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return n.keys.Load().server, nil
		},
	}, n.quic)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "peer: listen"), socket.Close())
	}
	n.tasks.Add(2)
	go n.accept()
	go n.sweep()
	return n, nil
}

func quicConfig(config Config) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           config.DialTimeout,
		MaxIdleTimeout:                 maxSilence,
		KeepAlivePeriod:                keepAlive,
		InitialStreamReceiveWindow:     initialWindow,
		MaxStreamReceiveWindow:         maxWindow,
		InitialConnectionReceiveWindow: 2 * initialWindow,
		MaxConnectionReceiveWindow:     4 * maxWindow,
		MaxIncomingStreams:             int64(config.PeerHandlers),
		MaxIncomingUniStreams:          maxMessageStreams,
		EnableDatagrams:                true,
		// Most connections carry a few small messages; the probes of path MTU
		// discovery would be a large part of their bytes.
		DisablePathMTUDiscovery: true,
	}
}

// Addr returns the UDP IP:port, with the port that was taken.
func (n *Node) Addr() string { return n.socket.LocalAddr().String() }

// ID returns the daemon id of the own certificate.
func (n *Node) ID() string { return n.keys.Load().id }

// Handle registers the handler of calls of a kind (at most 64 bytes).
func (n *Node) Handle(kind string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[kind] = h
}

// HandleMessage registers the handler of messages of a kind.
func (n *Node) HandleMessage(kind string, h MessageHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages[kind] = h
}

// Reload replaces authorities and key pair for new connections. Open
// connections stay. On an error the keys in force remain.
func (n *Node) Reload(credentials Credentials) error {
	loaded, err := credentials.load()
	if err != nil {
		return err
	}
	n.keys.Store(loaded)
	return nil
}

// Close refuses new requests, waits until the running handlers have finished
// and their replies have arrived, then for own calls in progress, and closes
// all connections. When ctx ends first, what still runs is cut off and the
// error of ctx is returned.
func (n *Node) Close(ctx context.Context) error {
	n.mu.Lock()
	n.closing = true
	stop := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.idle.Broadcast()
	})
	for n.running > 0 && ctx.Err() == nil {
		n.idle.Wait()
	}
	n.closed = true
	for n.calls > 0 && ctx.Err() == nil {
		n.idle.Wait()
	}
	cut := n.running > 0 || n.calls > 0
	out, in := n.detachAll()
	n.mu.Unlock()
	stop()
	for _, c := range out {
		c.close("closing")
	}
	for _, c := range in {
		c.goAway()
	}
	n.stop()
	err := errors.CombineErrors(n.listener.Close(), n.transport.Close())
	err = errors.CombineErrors(err, n.socket.Close())
	if !n.awaitTasks(ctx) || cut {
		return ctx.Err()
	}
	if errors.Is(err, net.ErrClosed) || errors.Is(err, quic.ErrServerClosed) {
		return nil
	}
	return err
}

// awaitTasks waits for the goroutines of the node and returns false when ctx
// ends first: a handler that ignores its context must not block Close.
func (n *Node) awaitTasks(ctx context.Context) bool {
	ended := make(chan struct{})
	go func() {
		n.tasks.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// detachAll empties the connection tables. The caller holds the lock.
func (n *Node) detachAll() (out []*outgoing, in []*incoming) {
	for address, c := range n.outgoing {
		out = append(out, c)
		delete(n.outgoing, address)
	}
	for c := range n.incoming {
		in = append(in, c)
		delete(n.incoming, c)
	}
	return out, in
}

// sweep closes outgoing connections that have been idle for IdleTimeout.
func (n *Node) sweep() {
	defer n.tasks.Done()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			for _, c := range n.takeIdle(now.Add(-n.config.IdleTimeout)) {
				c.close("idle")
			}
		}
	}
}
