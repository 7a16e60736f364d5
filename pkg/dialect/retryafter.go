package dialect

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxPause bounds the pause that an upstream may ask for. Without a bound, one bad value
// would remove the upstream until its next start.
const maxPause = 10 * time.Minute

// ParseRetryAfter returns the pause that the value of a Retry-After header asks for: a
// number of seconds, which may have a fraction, or a date. Longer pauses count as
// maxPause. A missing, negative or malformed value is 0.
func ParseRetryAfter(value string, now time.Time) time.Duration {
	value = strings.TrimSpace(value)
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	date, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	return min(max(date.Sub(now), 0), maxPause)
}
