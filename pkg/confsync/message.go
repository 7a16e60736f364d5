package confsync

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"shallotglade/pkg/platform"
)

// Kinds of the messages between daemons; see Syncer.Handle.
const (
	// KindObjects carries changed objects.
	KindObjects = "objects"
	// KindDigest asks whether two replicas hold the same.
	KindDigest = "digest"
	// KindOffer asks a relay of another domain which changed objects it lacks.
	KindOffer = "offer"
	// KindVersions exchanges the versions in differing buckets.
	KindVersions = "versions"
	// KindCompare asks a daemon to compare its copies with others of its domain.
	KindCompare = "compare"
)

// Kinds returns the kinds of all messages.
func Kinds() []string {
	return []string{KindObjects, KindDigest, KindVersions, KindOffer, KindCompare}
}

// Limits of messages.
const (
	// MaxMessageBytes bounds an encoded message; it holds one object of the
	// largest size with room to spare.
	MaxMessageBytes = 2 << 20
	// batchBytes is how many bytes of objects go into one message.
	batchBytes = 512 << 10
	// maxKeyBytes bounds the key of an object.
	maxKeyBytes = 512
	// maxAddressBytes bounds a peer address.
	maxAddressBytes = 64
	// maxElements bounds every list in a message.
	maxElements = 16 << 10
	// maxNesting is the depth of the deepest message: message, list, object.
	maxNesting = 4
)

// errMessage marks a message that is not valid.
var errMessage = errors.New("confsync: invalid message")

// spread is what the receiver of objects does with those that it applied.
type spread uint8

const (
	// spreadForward passes them on to the daemons that the message lists.
	spreadForward spread = iota
	// spreadDomain passes them on to the whole domain of the receiver, a relay.
	spreadDomain
	// spreadGossip passes them on to a few daemons of the receiver's domain.
	spreadGossip
	spreadEnd
)

// objectsMessage is the body of KindObjects; the reply is empty.
type objectsMessage struct {
	Objects []platform.Object `cbor:"1,keyasint"`
	Spread  spread            `cbor:"2,keyasint,omitempty"`
	// Forward are addresses of daemons that the receiver passes them on to.
	Forward []string `cbor:"3,keyasint,omitempty"`
}

// digestMessage is the body of KindDigest.
type digestMessage struct {
	Root uint64 `cbor:"1,keyasint"`
}

// digestReply answers KindDigest.
type digestReply struct {
	// Ready says whether the sender holds all objects it should.
	Ready bool `cbor:"1,keyasint,omitempty"`
	// Buckets is the sender's digest if the roots differ, else empty.
	Buckets []uint64 `cbor:"2,keyasint,omitempty"`
}

// versionsMessage is the body of KindVersions.
type versionsMessage struct {
	Buckets []uint16 `cbor:"1,keyasint"`
	// Versions are all that the sender holds in these buckets.
	Versions []Version `cbor:"2,keyasint,omitempty"`
}

// offerMessage is the body of KindOffer.
type offerMessage struct {
	Versions []Version `cbor:"1,keyasint"`
}

// offerReply answers KindOffer.
type offerReply struct {
	// Wanted are the keys that are newer at the offering daemon.
	Wanted []string `cbor:"1,keyasint,omitempty"`
	// Settled says that the domain of the replying daemon has what it holds, as far as
	// it can be reached: it has been the relay for some time.
	Settled bool `cbor:"2,keyasint,omitempty"`
}

// compareMessage is the body of KindCompare; the reply is empty.
type compareMessage struct {
	// With are addresses of the daemons to compare with; none means all of the
	// receiver's domain.
	With []string `cbor:"1,keyasint,omitempty"`
}

// versionsReply answers KindVersions.
type versionsReply struct {
	// Objects are newer at the replying daemon.
	Objects []platform.Object `cbor:"1,keyasint,omitempty"`
	// More says that not all newer objects fitted.
	More bool `cbor:"2,keyasint,omitempty"`
	// Wanted are the keys that are newer at the asking daemon.
	Wanted []string `cbor:"3,keyasint,omitempty"`
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

// decode fills message from a whole body and rejects anything unexpected.
func decode(body []byte, message any) error {
	if len(body) > MaxMessageBytes {
		return errors.Wrapf(errMessage, "%d bytes exceed %d", len(body), MaxMessageBytes)
	}
	if err := decoder.Unmarshal(body, message); err != nil {
		return errors.Wrapf(errMessage, "%v", err)
	}
	return nil
}

// checkObjects rejects objects that no daemon may hold.
func checkObjects(objects []platform.Object, prefixes []string) error {
	for _, o := range objects {
		switch {
		case !validKey(o.Key, prefixes):
			return errors.Wrapf(errMessage, "key %.64q", o.Key)
		case o.Version == 0:
			return errors.Wrapf(errMessage, "%q has no version", o.Key)
		case len(o.Value) > platform.MaxValueBytes:
			return errors.Wrapf(errMessage, "%q has %d bytes", o.Key, len(o.Value))
		case o.Deleted && len(o.Value) > 0:
			return errors.Wrapf(errMessage, "tombstone %q has a value", o.Key)
		}
	}
	return nil
}

func checkBuckets(buckets []uint16) error {
	seen := map[uint16]bool{}
	for _, b := range buckets {
		if b >= DigestBuckets || seen[b] {
			return errors.Wrapf(errMessage, "bucket %d", b)
		}
		seen[b] = true
	}
	return nil
}

func checkAddresses(addresses []string) error {
	for _, a := range addresses {
		if a == "" || len(a) > maxAddressBytes {
			return errors.Wrapf(errMessage, "address %.64q", a)
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

// batches splits objects so that each part fits one message.
func batches(objects []platform.Object) [][]platform.Object {
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
