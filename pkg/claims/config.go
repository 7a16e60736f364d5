package claims

import (
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

// Defaults of Config.
const (
	DefaultRetention = 24 * time.Hour
	// MaxClockSkew is added to the retention before an entry is removed. It is
	// the maximum clock skew between daemons that does not shorten the retention.
	MaxClockSkew        = time.Hour
	DefaultClaimTimeout = time.Second
	DefaultCallTimeout  = time.Second
	DefaultMaxAttempts  = 4096
	// unstoredOutcomesDivisor limits the waiting outcomes of requests that ran to
	// this fraction (1/n) of MaxAttempts, so that a backlog of outcomes does not
	// cause new requests to be refused. Keys whose outcomes are dropped stay in
	// the state "may have run".
	unstoredOutcomesDivisor = 4
	// DefaultMaxResponseBytes is the default of NewObjects. During an outage up
	// to MaxAttempts/unstoredOutcomesDivisor responses wait in memory, 4 MiB by
	// default.
	DefaultMaxResponseBytes = 4 << 10
	// DefaultMaxBucketResponseBytes is the default of NewBuckets. It is smaller
	// because each write of a bucket contains all its stored responses.
	DefaultMaxBucketResponseBytes = 512
	// DefaultBuckets allows about 18,000 entries in each of 4,096 buckets. With
	// the default retention, this is an average of 850 keyed requests per second
	// and service.
	DefaultBuckets = 1 << 12
	// MaxBuckets is limited by the four hex digits of a bucket's name.
	MaxBuckets = 1 << 16
	// maxStoredObjectBytes is the maximum size of a stored object. Its margin
	// below platform.MaxValueBytes exceeds the error of the size estimate.
	maxStoredObjectBytes = platform.MaxValueBytes - 1<<14
	// maxObjectBytesWithResponse is the maximum size of an object after a
	// response is added to it. Above this size a busy bucket records only that
	// requests ran, so that its writes stay small.
	maxObjectBytesWithResponse = 64 << 10
	// defaultMaxCachedEntries bounds the entries of idle buckets that a daemon
	// keeps in memory. An entry takes about 100 bytes, or 600 with a response.
	defaultMaxCachedEntries = 50_000
	// objectEntryCost is the memory cost of a cached object, in entries.
	objectEntryCost = 4
)

// Config configures a ledger. Only Store is required.
type Config struct {
	Store platform.Store
	// Now is the clock for the creation and expiry of entries; default time.Now.
	Now func() time.Time
	// Retention is how long a key is protected; default DefaultRetention.
	Retention time.Duration
	// ClaimTimeout is the maximum time that Claim and RecordOutcome wait, in addition
	// to the limits of their contexts; default DefaultClaimTimeout.
	ClaimTimeout time.Duration
	// CallTimeout bounds each platform call; default DefaultCallTimeout.
	CallTimeout time.Duration
	// MaxAttempts is the maximum number of open attempts; default DefaultMaxAttempts.
	// An attempt is open from its claim until its outcome is stored. Further claims
	// are refused, so that memory stays
	// bounded during a platform outage and no release is dropped.
	MaxAttempts int
	// MaxResponseBytes is the maximum size of a stored response. 0 means the
	// default of the layout; with a negative value no responses are stored.
	MaxResponseBytes int
	// Buckets is the number of objects per service of NewBuckets, a power of
	// two up to MaxBuckets; default DefaultBuckets. It must not change while
	// claims are retained.
	Buckets int
}

func (c Config) withDefaults(maxResponse int) (Config, error) {
	if c.Store == nil {
		return c, errors.Wrap(ErrInvalid, "Config.Store is not set")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.MaxResponseBytes, maxResponse)
	setDefault(&c.Buckets, DefaultBuckets)
	if c.Buckets < 1 || c.Buckets > MaxBuckets || c.Buckets&(c.Buckets-1) != 0 {
		return c, errors.Wrapf(ErrInvalid, "number of buckets %d is out of range or not a power of two", c.Buckets)
	}
	return c, nil
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func (c Config) limits() limits {
	return limits{
		entryTTL: c.Retention + MaxClockSkew, maxObjectBytes: maxStoredObjectBytes,
		maxResponseBytes: c.MaxResponseBytes, maxBytesWithResponse: maxObjectBytesWithResponse,
	}
}
