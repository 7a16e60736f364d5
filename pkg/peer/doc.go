// Package peer carries messages between daemons: QUIC over one UDP socket per
// daemon, TLS 1.3 with certificates verified on both sides, CBOR frames.
//
//	node, err := peer.Listen(peer.Config{Listen: "10.0.0.7:7400", Credentials: creds})
//	node.Handle("forward", func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) { ... })
//	reply, err := node.Call(ctx, "10.0.0.8:7400", "forward", body)
//
// Register handlers directly after Listen: a request of an unknown kind is
// refused and fails at the caller with ErrNotSent.
//
// # What an error of Call says
//
// errors.Is(err, ErrNotSent): no handler of the peer ran. The dial failed, the
// stream was not opened, the request was not written completely, or the peer
// refused it (unknown kind, overloaded, closing, ErrRefused of the handler).
// errors.Is(err, ErrNoReply): a handler may have run, perhaps to its end.
// errors.As(err, **RemoteError): a handler ran and returned an error.
//
// # Connections
//
// A connection to a peer address is dialled at the first use, shared by all
// calls, and closed when idle. Their number is bounded, so daemons do not form
// a full mesh. Prefer a stable set of peers to random ones for periodic
// messages: a new connection costs a handshake on both sides (see
// docs/decisions/peer-transport.md for bytes and processor time).
//
// # Identity and keys
//
// The certificate names the daemon: a URI name shallotglade://daemon/<id>, or
// else the common name. Handlers get the verified name. Addresses are not
// part of certificates, and any daemon of the fleet is trusted as any other.
// Reload replaces authorities and key pair for new handshakes and leaves open
// connections alone. To change an authority, first add the new one
// everywhere, then replace the certificates, then remove the old one.
package peer
