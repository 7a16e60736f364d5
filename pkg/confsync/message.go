package confsync

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"shallotglade/pkg/platform"
)

// Message kinds between daemons; see Syncer.Handle.
const (
	// KindObjects carries changed objects.
	KindObjects = "objects"
	// KindDigest asks whether two replicas hold the same objects.
	KindDigest = "digest"
	// KindOffer asks a daemon of another domain which changed objects it lacks.
	KindOffer = "offer"
	// KindVersions exchanges the versions in differing buckets.
	KindVersions = "versions"
	// KindCompare asks a daemon to compare its replica with others of its domain.
	KindCompare = "compare"
	// KindConfirm asks a relay how old its knowledge of the configuration is.
	KindConfirm = "confirm"
)

// Kinds returns all message kinds.
func Kinds() []string {
	return []string{KindObjects, KindDigest, KindVersions, KindOffer, KindCompare, KindConfirm}
}

// Message limits.
const (
	// MaxMessageBytes limits an encoded message. One object of the maximum size
	// fits with room to spare.
	MaxMessageBytes = 2 << 20
	// batchBytes is the target size of the objects in one message.
	batchBytes = 512 << 10
	// maxKeyBytes limits the key of an object.
	maxKeyBytes = 512
	// maxAddressBytes limits a peer address.
	maxAddressBytes = 64
	// maxElements limits every list in a message.
	maxElements = 16 << 10
	// maxNesting limits the nesting depth: message, list, object.
	maxNesting = 4
)

// errInvalidMessage marks an invalid message.
var errInvalidMessage = errors.New("confsync: invalid message")

// propagation is how the receiver of objects propagates them.
type propagation uint8

const (
	// propagateToList forwards them to the daemons listed in the message.
	propagateToList propagation = iota
	// propagateToDomain forwards newly applied ones to the receiver's whole domain.
	propagateToDomain
	// propagateByGossip forwards newly applied ones to a few daemons of the
	// receiver's domain.
	propagateByGossip
	propagationEnd
)

// objectsMessage is the body of KindObjects; the reply is empty.
type objectsMessage struct {
	Objects     []platform.Object `cbor:"1,keyasint"`
	Propagation propagation       `cbor:"2,keyasint,omitempty"`
	// Forward holds the addresses of the daemons to forward the objects to.
	Forward []string `cbor:"3,keyasint,omitempty"`
	// Packed holds the objects instead of Objects; see pack.
	Packed []byte `cbor:"4,keyasint,omitempty"`
}

// digestMessage is the body of KindDigest.
type digestMessage struct {
	Root uint64 `cbor:"1,keyasint"`
	// WantAge asks for the age in the reply. Earlier versions refuse messages with this
	// field and replies with an age, so both are left out where ages are not needed.
	WantAge bool `cbor:"2,keyasint,omitempty"`
	// WantCopyAge asks for the age of the receiver's copy, see relayContact. Requests carry
	// no age, because the receiver does not know how long they waited. Earlier builds refuse
	// messages with this field.
	WantCopyAge bool `cbor:"3,keyasint,omitempty"`
}

// confirmedAge is the age of a daemon's knowledge of the configuration when it replied.
type confirmedAge struct {
	// ConfirmedVersion is the version that the store confirmed; 0 means that the age is
	// unknown.
	ConfirmedVersion uint64 `cbor:"8,keyasint,omitempty"`
	// AgeMs is the age in milliseconds, rounded up.
	AgeMs uint64 `cbor:"9,keyasint,omitempty"`
}

func newConfirmedAge(a statedAge) confirmedAge {
	return confirmedAge{ConfirmedVersion: a.Version, AgeMs: uint64((a.Age + time.Millisecond - 1) / time.Millisecond)}
}

func (a confirmedAge) age() statedAge {
	if a.AgeMs > uint64(maxStatedAge/time.Millisecond) {
		return statedAge{}
	}
	return statedAge{Version: a.ConfirmedVersion, Age: time.Duration(a.AgeMs) * time.Millisecond}
}

// confirmMessage is the body of KindConfirm.
type confirmMessage struct{}

// confirmReply answers KindConfirm.
type confirmReply struct{ confirmedAge }

// digestReply answers KindDigest.
type digestReply struct {
	// Ready is true if the sender's replica is up to date; see Syncer.Ready.
	Ready bool `cbor:"1,keyasint,omitempty"`
	// Buckets is the sender's digest if the roots differ, otherwise empty.
	Buckets []uint64 `cbor:"2,keyasint,omitempty"`
	// CopyAge is the age of the sender's copy, if the request asked for it.
	CopyAge uint64 `cbor:"3,keyasint,omitempty"`
	confirmedAge
}

// copyAge returns the age of the sender's copy. A daemon of an earlier build states none,
// and counts as one that is in contact with a relay.
func (r digestReply) copyAge() time.Duration {
	if r.CopyAge == 0 {
		return 0
	}
	return decodeCopyAge(r.CopyAge)
}

// versionsMessage is the body of KindVersions.
type versionsMessage struct {
	Buckets []uint16 `cbor:"1,keyasint"`
	// Versions holds all versions that the sender has in these buckets.
	Versions []Version `cbor:"2,keyasint,omitempty"`
	// Packed holds the versions instead of Versions; see pack.
	Packed []byte `cbor:"3,keyasint,omitempty"`
	// Extended is true if the sender understands packed objects in the reply.
	Extended bool `cbor:"4,keyasint,omitempty"`
}

// offerMessage is the body of KindOffer.
type offerMessage struct {
	Versions []Version `cbor:"1,keyasint"`
	// Packed holds the versions instead of Versions; see pack.
	Packed []byte `cbor:"2,keyasint,omitempty"`
}

// offerReply answers KindOffer.
type offerReply struct {
	// Wanted holds the keys that are newer at the offering daemon.
	Wanted []string `cbor:"1,keyasint,omitempty"`
	// Established is true if the replying daemon has been a relay long enough that the
	// reachable daemons of its domain hold the same objects.
	Established bool `cbor:"2,keyasint,omitempty"`
}

// compareMessage is the body of KindCompare; the reply is empty.
type compareMessage struct {
	// Addresses holds the daemons to compare with; empty means all daemons of the
	// receiver's domain.
	Addresses []string `cbor:"1,keyasint,omitempty"`
}

// versionsReply answers KindVersions.
type versionsReply struct {
	// Objects holds objects that are newer at the replying daemon.
	Objects []platform.Object `cbor:"1,keyasint,omitempty"`
	// More is true if some newer objects did not fit.
	More bool `cbor:"2,keyasint,omitempty"`
	// Wanted holds the keys that are newer at the asking daemon.
	Wanted []string `cbor:"3,keyasint,omitempty"`
	// Packed holds the objects instead of Objects; see pack.
	Packed []byte `cbor:"4,keyasint,omitempty"`
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       16,
		MaxNestedLevels:   maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(message any) ([]byte, error) {
	b, err := cbor.Marshal(message)
	if err == nil && len(b) > MaxMessageBytes {
		err = errors.Newf("message of %d bytes exceeds %d", len(b), MaxMessageBytes)
	}
	return b, errors.Wrap(err, "confsync: encode")
}

// decode decodes a whole body into message and rejects unexpected fields and encodings.
func decode(body []byte, message any) error {
	if len(body) > MaxMessageBytes {
		return errors.Wrapf(errInvalidMessage, "%d bytes exceed %d", len(body), MaxMessageBytes)
	}
	if err := decoder.Unmarshal(body, message); err != nil {
		return errors.Wrapf(errInvalidMessage, "%v", err)
	}
	return nil
}

// checkObjects returns an error if an object is invalid.
func checkObjects(objects []platform.Object, prefixes []string) error {
	for _, o := range objects {
		switch {
		case !validKey(o.Key, prefixes):
			return errors.Wrapf(errInvalidMessage, "key %.64q", o.Key)
		case o.Version == 0:
			return errors.Wrapf(errInvalidMessage, "%q has no version", o.Key)
		case len(o.Value) > platform.MaxValueBytes:
			return errors.Wrapf(errInvalidMessage, "%q has %d bytes", o.Key, len(o.Value))
		case o.Deleted && len(o.Value) > 0:
			return errors.Wrapf(errInvalidMessage, "tombstone %q has a value", o.Key)
		}
	}
	return nil
}

func checkBuckets(buckets []uint16) error {
	seen := map[uint16]bool{}
	for _, b := range buckets {
		if b >= DigestBuckets || seen[b] {
			return errors.Wrapf(errInvalidMessage, "bucket %d", b)
		}
		seen[b] = true
	}
	return nil
}

func checkAddresses(addresses []string) error {
	for _, a := range addresses {
		if a == "" || len(a) > maxAddressBytes {
			return errors.Wrapf(errInvalidMessage, "address %.64q", a)
		}
	}
	return nil
}

func validKey(key string, prefixes []string) bool {
	if len(key) > maxKeyBytes {
		return false
	}
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

func objectSize(o platform.Object) int { return len(o.Key) + len(o.Value) + 32 }

// splitIntoBatches splits objects into batches that each fit into one message.
func splitIntoBatches(objects []platform.Object) [][]platform.Object {
	var out [][]platform.Object
	start, size := 0, 0
	for i, o := range objects {
		size += objectSize(o)
		if i > start && (size > batchBytes || i-start == maxElements) {
			out = append(out, objects[start:i])
			start, size = i, objectSize(o)
		}
	}
	if start < len(objects) {
		out = append(out, objects[start:])
	}
	return out
}
