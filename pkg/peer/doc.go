// Package peer is the transport between daemons: QUIC over one UDP socket per
// daemon, mutual TLS 1.3, and frames encoded in CBOR.
//
//	node, err := peer.Listen(peer.Config{Listen: "10.0.0.7:7400", Credentials: creds})
//	node.Handle("forward", func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) { ... })
//	reply, err := node.Call(ctx, "10.0.0.8:7400", "forward", body)
//
// Register handlers directly after Listen: a request of an unknown kind is
// refused and fails at the caller with ErrNotSent.
//
// # Errors of Call
//
// errors.Is(err, ErrNotSent): no handler of the peer ran, or it had no effect.
// The dial failed, the stream was not opened, the request was not written
// completely, or the peer refused it (unknown kind, overloaded, closing, or the
// handler returned ErrRefused).
// errors.Is(err, ErrNoReply): a handler may have run, possibly to completion.
// errors.As(err, **RemoteError): a handler ran and returned an error.
//
// # Connections
//
// A connection to a peer address is dialled on first use, shared by all calls,
// and closed when idle. The number of connections is bounded, so daemons do not
// form a full mesh. Prefer a stable set of peers over random ones for periodic
// messages: a new connection costs a handshake on both sides (see
// docs/decisions/peer-transport.md for bytes and CPU time).
//
// # Identity and keys
//
// The certificate names the daemon: a URI name shallotglade://daemon/<id>, or
// else the common name. Handlers get the verified name. Addresses are not part
// of certificates, and all daemons of the fleet are trusted equally.
// Reload replaces the CA certificates and the key pair for new handshakes; open
// connections stay. To replace a CA, first add the new one everywhere, then
// replace the certificates, then remove the old one.
package peer
