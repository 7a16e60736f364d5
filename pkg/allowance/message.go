package allowance

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Kind is the kind of the messages between daemons.
const Kind = "allowance"

const (
	// maxAsks is the maximum number of accounts in a message.
	maxAsks = 512
	// maxCount bounds the counts of a message, so that sums cannot overflow.
	maxCount = 1 << 20
)

// Request is a message of an entry daemon to a grantor, or between two daemons that may be
// the grantor.
type Request struct {
	Shard int `cbor:"1,keyasint,omitempty"`
	// Shards is the number of shards by which the sender divides the accounts.
	Shards int `cbor:"2,keyasint,omitempty"`
	// Nonce distinguishes the starts of a daemon whose id does not change.
	Nonce uint32 `cbor:"3,keyasint,omitempty"`
	// Seq increases with each message of a sender. Acked is that of the last message whose
	// reply has arrived. The replies to later ones will never be used.
	Seq   uint64 `cbor:"4,keyasint,omitempty"`
	Acked uint64 `cbor:"5,keyasint,omitempty"`
	// Term is that of the last reply; returns and counts refer to it.
	Term uint32 `cbor:"6,keyasint,omitempty"`
	// Version is that of the sender's configuration.
	Version uint64 `cbor:"7,keyasint,omitempty"`
	Asks    []Ask  `cbor:"8,keyasint,omitempty"`
	// Unreachable is the id of the grantor that does not answer the sender.
	Unreachable string `cbor:"9,keyasint,omitempty"`
	// SeenVersion is the version of the lease in the last reply of a grantor, which arrived
	// SeenAgeMs milliseconds before this message was sent.
	SeenVersion uint64 `cbor:"10,keyasint,omitempty"`
	SeenAgeMs   uint64 `cbor:"11,keyasint,omitempty"`
	// Offer asks whether the receiver can reach the platform and can become the grantor.
	Offer bool `cbor:"12,keyasint,omitempty"`
	// Resigned is the term of the sender's lease, under which it grants nothing any more.
	Resigned uint32 `cbor:"13,keyasint,omitempty"`
}

// Ask states what an entry daemon needs for one account.
type Ask struct {
	Name string `cbor:"1,keyasint"`
	// Need is the number of requests that wait for a token, Ahead the number of tokens for
	// the requests that are expected next.
	Need  int `cbor:"2,keyasint,omitempty"`
	Ahead int `cbor:"3,keyasint,omitempty"`
	// Refused is the number of requests refused since the last message.
	Refused int `cbor:"4,keyasint,omitempty"`
	// Spent is the number of reserve tokens used in the term.
	Spent   uint32   `cbor:"5,keyasint,omitempty"`
	Returns []Return `cbor:"6,keyasint,omitempty"`
	// Rate and Burst are set after a reply that the account is unknown.
	Rate  float64 `cbor:"7,keyasint,omitempty"`
	Burst float64 `cbor:"8,keyasint,omitempty"`
}

// Return gives tokens of one stamp back that have not been used.
type Return struct {
	_     struct{} `cbor:",toarray"`
	Stamp uint64
	Count int
}

// Status tells whether a reply has tokens.
type Status uint8

// Statuses of a reply.
const (
	// NotGrantor is the zero value, so that an unset status never grants anything.
	NotGrantor Status = iota
	// Granted replies have one Grant for each Ask.
	Granted
	// Stale replies refuse a message that is older than one handled before.
	Stale
	// Accepted answers an Offer or a resignation.
	Accepted
	// Unable answers a daemon that cannot reach the platform and is not the grantor.
	Unable
)

// Reply is the reply to a Request.
type Reply struct {
	Status Status `cbor:"1,keyasint,omitempty"`
	Term   uint32 `cbor:"2,keyasint,omitempty"`
	// Stamp is the time of the grants on the clock of the term.
	Stamp uint64 `cbor:"3,keyasint,omitempty"`
	// LeaseVersion is the version of the grantor's lease.
	LeaseVersion uint64  `cbor:"4,keyasint,omitempty"`
	Grants       []Grant `cbor:"5,keyasint,omitempty"`
	// Holder and HolderAddress name the grantor, as far as the sender knows it.
	Holder        string `cbor:"6,keyasint,omitempty"`
	HolderAddress string `cbor:"7,keyasint,omitempty"`
	// RetryMs is when to ask again if there is no grantor yet.
	RetryMs uint64 `cbor:"8,keyasint,omitempty"`
}

// Grant answers the Ask of the same index.
type Grant struct {
	Tokens int `cbor:"1,keyasint,omitempty"`
	// Reserve is the number of reserve tokens that the entry daemon may hold, after those
	// that its message states as used.
	Reserve int `cbor:"2,keyasint,omitempty"`
	// PauseMs is how long to ask for no more tokens; 0 if the bucket is not empty.
	PauseMs uint64 `cbor:"3,keyasint,omitempty"`
	// RetryMs is when a refused caller can expect a token, GapMs how much later each
	// further one can.
	RetryMs uint64 `cbor:"4,keyasint,omitempty"`
	GapMs   uint64 `cbor:"5,keyasint,omitempty"`
	// Unknown means that the grantor's configuration does not have the account.
	Unknown bool `cbor:"6,keyasint,omitempty"`
}

// encode returns a message in CBOR.
func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, errors.Wrap(err, "allowance: encode a message")
}

// decodeRequest decodes and bounds a request.
func decodeRequest(body []byte) (*Request, error) {
	var r Request
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "allowance: decode a request")
	}
	if len(r.Asks) > maxAsks {
		return nil, errors.Newf("allowance: a request has %d accounts, more than %d", len(r.Asks), maxAsks)
	}
	for i := range r.Asks {
		a := &r.Asks[i]
		for _, n := range []*int{&a.Need, &a.Ahead, &a.Refused} {
			*n = min(max(*n, 0), maxCount)
		}
		for j := range a.Returns {
			a.Returns[j].Count = min(max(a.Returns[j].Count, 0), maxCount)
		}
	}
	return &r, nil
}

// decodeReply decodes a reply.
func decodeReply(body []byte) (*Reply, error) {
	var r Reply
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "allowance: decode a reply")
	}
	return &r, nil
}

// millis rounds a time up to the milliseconds of a message.
func millis(d time.Duration) uint64 {
	return uint64(max(0, d+time.Millisecond-1) / time.Millisecond)
}

// millisOf returns the time of a number of milliseconds in a message, at most an hour.
func millisOf(n uint64) time.Duration {
	return time.Duration(min(n, uint64(time.Hour/time.Millisecond))) * time.Millisecond
}
