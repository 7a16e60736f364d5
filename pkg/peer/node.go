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
	// keepAliveInterval is the interval of keep-alive packets, which detect a dead
	// peer while a call waits. It is less than a third of quicIdleTimeout, so that
	// two lost packets do not end a connection.
	keepAliveInterval = 8 * time.Second
	// quicIdleTimeout is how long a connection stays open without a packet from
	// the peer.
	quicIdleTimeout = 25 * time.Second
	// initialWindowBytes and maxWindowBytes are the flow-control windows of a
	// stream. The maximum window of a connection is four times as large.
	initialWindowBytes = 128 << 10
	maxWindowBytes     = 1 << 20
	// maxMessageStreams is the maximum number of concurrent messages per
	// connection that are too large for a datagram.
	maxMessageStreams = 32
	// idleCheckInterval is the resolution of Config.IdleTimeout.
	idleCheckInterval = time.Second
)

// Application error codes of connections.
const (
	codeGoAway  quic.ApplicationErrorCode = 1 // the reason contains the last accepted stream
	codeIdle    quic.ApplicationErrorCode = 2
	codeRefused quic.ApplicationErrorCode = 3
)

// codeCancelled resets a stream that its sender or receiver gives up.
const codeCancelled quic.StreamErrorCode = 1

// Handler answers a call. The context ends when the caller cancels, its deadline
// passes or the connection ends. The handler owns the body. A returned error
// reaches the caller as RemoteError, and ErrRefused as ErrNotSent.
type Handler func(ctx context.Context, from Identity, body []byte) ([]byte, error)

// MessageHandler handles a message sent by Send. The datagrams of a connection
// are handled one after another; while a handler blocks, later ones may be lost.
type MessageHandler func(ctx context.Context, from Identity, body []byte)

// Node is the transport endpoint of a daemon. It is safe for concurrent use.
type Node struct {
	config    Config
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	quic      *quic.Config
	tls       atomic.Pointer[tlsConfigs]
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	mu              sync.Mutex
	handlers        map[string]Handler
	messageHandlers map[string]MessageHandler
	outgoing        map[string]*outgoing
	incoming        map[*incoming]struct{}
	activeHandlers  int
	// activeCalls counts outgoing calls and messages in progress.
	activeCalls int
	// If closing is set, incoming requests are refused; if closed is set,
	// outgoing calls fail too.
	closing, closed bool
	// idle is signalled when activeHandlers or activeCalls drops to zero.
	idle sync.Cond

	counters counters
}

// Listen opens the UDP socket and accepts peers until Close.
func Listen(config Config) (*Node, error) {
	config.setDefaults()
	loaded, err := config.loadTLS()
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
		handlers: map[string]Handler{}, messageHandlers: map[string]MessageHandler{},
		outgoing: map[string]*outgoing{}, incoming: map[*incoming]struct{}{},
	}
	n.idle.L = &n.mu
	n.tls.Store(loaded)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	var resetKey quic.StatelessResetKey
	if _, err := rand.Read(resetKey[:]); err != nil {
		return nil, errors.CombineErrors(err, socket.Close())
	}
	n.transport = &quic.Transport{Conn: filterConn(socket, config.Drop), StatelessResetKey: &resetKey}
	n.listener, err = n.transport.Listen(&tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpnProtocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return n.tls.Load().server, nil
		},
	}, n.quic)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "peer: listen"), socket.Close())
	}
	n.tasks.Add(2)
	go n.acceptLoop()
	go n.closeIdleLoop()
	return n, nil
}

func quicConfig(config Config) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           config.DialTimeout,
		MaxIdleTimeout:                 quicIdleTimeout,
		KeepAlivePeriod:                keepAliveInterval,
		InitialStreamReceiveWindow:     initialWindowBytes,
		MaxStreamReceiveWindow:         maxWindowBytes,
		InitialConnectionReceiveWindow: 2 * initialWindowBytes,
		MaxConnectionReceiveWindow:     4 * maxWindowBytes,
		MaxIncomingStreams:             int64(config.MaxStreamsPerConn),
		MaxIncomingUniStreams:          maxMessageStreams,
		EnableDatagrams:                true,
		// Most connections carry a few small messages; path MTU discovery would
		// add a large share to their bytes.
		DisablePathMTUDiscovery: true,
	}
}

// Addr returns the local UDP IP:port, with the actual port.
func (n *Node) Addr() string { return n.socket.LocalAddr().String() }

// ID returns the daemon id in this node's certificate.
func (n *Node) ID() string { return n.tls.Load().id }

// Handle registers the handler for calls of a kind (at most 64 bytes).
func (n *Node) Handle(kind string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[kind] = h
}

// HandleMessage registers the handler for messages of a kind.
func (n *Node) HandleMessage(kind string, h MessageHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messageHandlers[kind] = h
}

// Reload replaces the CA certificates and the key pair for new connections. Open
// connections stay. On an error the current credentials remain in use.
func (n *Node) Reload(credentials Credentials) error {
	loaded, err := credentials.loadTLS()
	if err != nil {
		return err
	}
	n.tls.Store(loaded)
	return nil
}

// Close refuses new requests, waits until the running handlers have finished and
// their replies have arrived, then waits for outgoing calls in progress, and
// closes all connections. If ctx ends first, handlers and calls still running
// are interrupted and the error of ctx is returned.
func (n *Node) Close(ctx context.Context) error {
	n.mu.Lock()
	n.closing = true
	stop := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.idle.Broadcast()
	})
	for n.activeHandlers > 0 && ctx.Err() == nil {
		n.idle.Wait()
	}
	n.closed = true
	for n.activeCalls > 0 && ctx.Err() == nil {
		n.idle.Wait()
	}
	interrupted := n.activeHandlers > 0 || n.activeCalls > 0
	out, in := n.detachAll()
	n.mu.Unlock()
	stop()
	for _, c := range out {
		c.close("closing")
	}
	for _, c := range in {
		c.goAway()
	}
	n.cancel()
	err := errors.CombineErrors(n.listener.Close(), n.transport.Close())
	err = errors.CombineErrors(err, n.socket.Close())
	if !n.awaitTasks(ctx) || interrupted {
		return ctx.Err()
	}
	if errors.Is(err, net.ErrClosed) || errors.Is(err, quic.ErrServerClosed) {
		return nil
	}
	return err
}

// awaitTasks waits for the goroutines of the node. It returns false if ctx ends
// first, because a handler that ignores its context must not block Close.
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

// closeIdleLoop closes outgoing connections that have been idle for IdleTimeout.
func (n *Node) closeIdleLoop() {
	defer n.tasks.Done()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			for _, c := range n.removeIdle(now.Add(-n.config.IdleTimeout)) {
				c.close("idle")
			}
		}
	}
}
