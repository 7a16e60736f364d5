package membership

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Kind is the purpose of a Message.
type Kind uint8

// Kinds of messages.
const (
	// Ping asks for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping, or a PingReq once its Target has answered.
	Ack
	// PingReq asks the receiver to ping Target.
	PingReq
)

// Bounds of a message.
const (
	// MaxEntries bounds the entries of a message. It is reached only in bursts of
	// updates, such as the end of a partition of 1,600 daemons. An entry takes
	// about 15 bytes.
	MaxEntries = 128
	// refreshEntries is how many entries from each of View.notAlive and
	// View.nonDefault a message carries in addition to new updates. They repair
	// differences left by lost updates: a receiver with newer state replies with
	// it. Without the entries of hosts that are not alive, single hosts stayed in
	// a wrong state for up to 45 s after a partition of 300 daemons.
	refreshEntries  = 8
	maxMessageBytes = 16 << 10
)

// Message is a protocol message with piggybacked state updates.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// To is the peer address of the receiver; it is not encoded.
	To   string `cbor:"-"`
	Kind Kind
	// Seq matches an Ack to its Ping or PingReq.
	Seq uint64
	// From is the host id of the sender.
	From        string
	Incarnation uint32
	Leaving     bool
	Detached    bool
	// Contact is set in a Ping, for receivers whose roster lacks the sender.
	Contact *Contact
	// Target is the key of the host that a PingReq asks to ping. The Ack of a
	// PingReq repeats it; it is 0 otherwise.
	Target  uint64
	Entries []Entry
}

// Contact holds the addresses and location of the sender of a Ping.
type Contact struct {
	_                                          struct{} `cbor:",toarray"`
	Region, Domain, Address, PeerAddress, Host string
}

// Entry is a gossiped state update about one host.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Key is KeyOf of the host id.
	Key         uint64
	State       State
	Incarnation uint32
	Leaving     bool
	// Detached means that the host announced at this incarnation that it cannot
	// reach the platform.
	Detached bool
}

// KeyOf returns the 64-bit hash of a host id. With 1,600 hosts the probability
// of a collision is below 1e-13.
func KeyOf(id string) uint64 { return xxhash.Sum64String(id) }

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 4, MaxArrayElements: 256, MaxMapPairs: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the CBOR encoding of the message.
func (m Message) Encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, errors.Wrap(err, "membership: encode")
}

// Decode decodes a message and checks its bounds.
func Decode(data []byte) (Message, error) {
	if len(data) > maxMessageBytes {
		return Message{}, errors.Newf("membership: message of %d bytes", len(data))
	}
	var m Message
	if err := decoder.Unmarshal(data, &m); err != nil {
		return Message{}, errors.Wrap(err, "membership: decode")
	}
	if m.Kind < Ping || m.Kind > PingReq || m.From == "" || len(m.Entries) > MaxEntries {
		return Message{}, errors.Newf("membership: message of kind %d with %d entries", m.Kind, len(m.Entries))
	}
	for _, e := range m.Entries {
		if e.State > Dead {
			return Message{}, errors.Newf("membership: unknown state %d", e.State)
		}
	}
	return m, nil
}
