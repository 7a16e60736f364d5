package confsync

import "time"

// maxStatedAge is the oldest age that daemons tell each other.
const maxStatedAge = time.Hour

// statedAge is a daemon's age as it tells it to another one. The zero value means that the
// age is unknown.
type statedAge struct {
	// Version is the version of the configuration that the store confirmed.
	Version uint64
	// Age is the age when the statement was made.
	Age time.Duration
}

// ageTracker tracks how old a daemon's knowledge of the configuration is: every version
// that the store acknowledged earlier than the age ago is not newer than the one that
// the daemon holds. All times are readings of a boot-time clock. The zero value knows no
// age.
type ageTracker struct {
	known bool
	// confirmedAt is the latest time by which all versions are known.
	confirmedAt time.Duration
	// version is what the store returned at or after confirmedAt.
	version uint64
}

// confirmByRead records a read of the store that began at startedAt and returned version.
// held is the version that the daemon holds afterwards. It reports whether the daemon's
// age is now younger.
func (t *ageTracker) confirmByRead(startedAt time.Duration, version, held uint64) bool {
	if version == 0 || held < version || t.known && startedAt <= t.confirmedAt {
		return false
	}
	*t = ageTracker{known: true, confirmedAt: startedAt, version: version}
	return true
}

// confirmByPeer records the statement in the reply to a request that was sent at sentAt.
// The peer made it after that. held is the version that the daemon holds now.
func (t *ageTracker) confirmByPeer(sentAt time.Duration, stated statedAge, held uint64) bool {
	if stated.Age < 0 || stated.Age > maxStatedAge {
		return false
	}
	return t.confirmByRead(sentAt-stated.Age, stated.Version, held)
}

// age returns the age at the given time, and false if it is unknown.
func (t *ageTracker) age(now time.Duration) (time.Duration, bool) {
	return max(now-t.confirmedAt, 0), t.known
}

// state returns what the daemon tells another one at the given time.
func (t *ageTracker) state(now time.Duration) statedAge {
	age, known := t.age(now)
	if !known || age > maxStatedAge {
		return statedAge{}
	}
	return statedAge{Version: t.version, Age: age}
}
