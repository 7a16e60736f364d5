package claims

import (
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

// Defaults of Config.
const (
	DefaultRetention = 24 * time.Hour
	// ClockMargin is added to the retention before an entry is removed; it
	// is how far daemons' clocks may differ without shortening the promise.
	ClockMargin         = time.Hour
	DefaultClaimTimeout = time.Second
	DefaultCallTimeout  = time.Second
	DefaultMaxAttempts  = 4096
	// recordShare is the part (1/n) of MaxAttempts that outcomes of requests
	// that ran may take up. The others stay at "may have run", so that a
	// backlog of them does not lead to new requests being refused.
	recordShare = 4
	// DefaultMaxResponseBytes is for an object per key. Through an outage up
	// to MaxAttempts/recordShare responses wait in memory, 4 MiB by default.
	DefaultMaxResponseBytes = 4 << 10
	// DefaultMaxBucketResponseBytes is smaller, because each write of a bucket
	// carries all the responses that it holds.
	DefaultMaxBucketResponseBytes = 512
	// DefaultBuckets keeps about 18,000 entries in each of 4,096 buckets, so
	// with the default retention a service may have 850 keyed requests a
	// second on average.
	DefaultBuckets = 1 << 12
	// MaxBuckets is what the four hex digits of a bucket's name can tell apart.
	MaxBuckets = 1 << 16
	// maxCellBytes stays below platform.MaxValueBytes by more than the error
	// of the size estimate.
	maxCellBytes = platform.MaxValueBytes - 1<<14
	// responseRoomBytes is the size of an object up to which responses are
	// added to it; a busy bucket keeps facts only, so that its writes stay small.
	responseRoomBytes = 64 << 10
	// cachedEntries bounds the entries of idle buckets that a daemon keeps in
	// memory, about 100 bytes each without and 600 with a response.
	cachedEntries = 50_000
	// cellWeight is how many entries a cell itself counts for.
	cellWeight = 4
)

// Config configures a ledger. Only Store is required.
type Config struct {
	Store platform.Store
	// Now is the clock that stamps and expires entries; default time.Now.
	Now func() time.Time
	// Retention is how long a key is protected; default DefaultRetention.
	Retention time.Duration
	// ClaimTimeout bounds how long Claim and Settle wait, in addition to their
	// contexts; default DefaultClaimTimeout.
	ClaimTimeout time.Duration
	// CallTimeout bounds each platform call; default DefaultCallTimeout.
	CallTimeout time.Duration
	// MaxAttempts bounds the attempts that are claiming, have won and are not
	// settled, or wait for their outcome to be stored; default
	// DefaultMaxAttempts. Claims beyond it are refused, so that memory stays
	// bounded through an outage of the platform and no release is dropped.
	MaxAttempts int
	// MaxResponseBytes is the largest response that is kept; 0 means the
	// default of the layout, and a negative value that none is kept.
	MaxResponseBytes int
	// Buckets is the number of objects per service of NewBuckets, a power of
	// two up to MaxBuckets; default DefaultBuckets. It must not change while
	// claims are kept.
	Buckets int
}

func (c Config) withDefaults(maxResponse int) (Config, error) {
	if c.Store == nil {
		return c, errors.Wrap(ErrInvalid, "no platform store")
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
		return c, errors.Wrapf(ErrInvalid, "%d buckets", c.Buckets)
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
		keep: c.Retention + ClockMargin, maxBytes: maxCellBytes,
		maxResponse: c.MaxResponseBytes, responseRoom: responseRoomBytes,
	}
}
