package allowance

import "time"

const (
	// stampLength is the unit of the stamps of grants.
	stampLength = 100 * time.Millisecond
	// historyStamps is the number of stamps whose tokens can be returned. Requests that wait
	// longer than this before they are refused lose their tokens.
	historyStamps = 64
)

// bucket is the token bucket of one account. A token that comes back is treated as if it
// had never been granted: the level is computed again from the grants since then. Adding
// it to the present level would be wrong, because requests that queued for seconds and
// were then refused together would let as many others run within one window.
type bucket struct {
	rate, size float64
	level      float64
	// at is the time of level.
	at time.Duration
	// granted has the grants by stamp modulo historyStamps, of the stamps from oldest to
	// newest. base is the level at the start of oldest, or a bound below it.
	granted        []float64
	oldest, newest uint64
	base           float64
}

func stampOf(at time.Duration) uint64 { return uint64(max(at, 0) / stampLength) }

// newBucket returns a bucket with the given level at a time.
func newBucket(rate, size, level float64, at time.Duration) *bucket {
	b := &bucket{rate: rate, size: size, level: min(level, size)}
	b.restart(at)
	return b
}

// restart forgets the grants so far. Their tokens cannot be returned any more.
func (b *bucket) restart(at time.Duration) {
	b.at = max(b.at, at)
	b.oldest = stampOf(b.at)
	b.newest = b.oldest
	clear(b.granted)
	// replay adds a whole stamp's tokens, also those from before at.
	b.base = b.level - b.rate*(b.at-time.Duration(b.oldest)*stampLength).Seconds()
}

// setPolicy applies a changed rate and size.
func (b *bucket) setPolicy(now time.Duration, rate, size float64) {
	if rate == b.rate && size == b.size {
		return
	}
	b.settle(now)
	b.rate, b.size = rate, size
	b.level = min(b.level, size)
	b.restart(now)
}

// settle adds the tokens that have accrued.
func (b *bucket) settle(now time.Duration) {
	if now <= b.at {
		return
	}
	b.level = min(b.size, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	newest := stampOf(now)
	if b.granted == nil || newest-b.newest >= historyStamps {
		b.restart(now)
		return
	}
	for b.newest < newest {
		b.newest++
		if b.newest-b.oldest == historyStamps {
			b.base = b.after(b.base, b.oldest, stampLength)
			b.oldest++
		}
		b.granted[b.newest%historyStamps] = 0
	}
}

// after returns a bound below the level at the end of a stamp, or of its first part. The
// grants are subtracted last because their order within the stamp is not known.
func (b *bucket) after(level float64, stamp uint64, part time.Duration) float64 {
	return max(0, min(b.size, level+b.rate*part.Seconds())-b.granted[stamp%historyStamps])
}

// take removes n tokens, which must be there, at the time of the last settle.
func (b *bucket) take(n int) {
	if b.granted == nil {
		b.granted = make([]float64, historyStamps)
	}
	b.level -= float64(n)
	b.granted[b.newest%historyStamps] += float64(n)
}

// giveBack returns n tokens that were granted at a stamp and have not been used.
func (b *bucket) giveBack(now time.Duration, stamp uint64, n int) {
	b.settle(now)
	if b.granted == nil || stamp < b.oldest || stamp > b.newest {
		return
	}
	granted := &b.granted[stamp%historyStamps]
	*granted -= min(float64(n), *granted)
	level := b.base
	for s := b.oldest; s < b.newest; s++ {
		level = b.after(level, s, stampLength)
	}
	level = b.after(level, b.newest, b.at-time.Duration(b.newest)*stampLength)
	b.level = max(b.level, level)
}
