package ejection

import "time"

// UpstreamView is one upstream in a daemon's membership list.
type UpstreamView struct {
	ID      string
	Leaving bool
	// Joined is the time when the upstream was added to the list, at which its
	// ramp starts. It is zero for the upstreams of the daemon's first list.
	Joined time.Time
}

// View is a daemon's list of a service's upstreams, in any order.
type View struct {
	Upstreams []UpstreamView
}

// sorted reports whether the upstreams are sorted by id and each is listed once.
func (v View) sorted() bool {
	for i := 1; i < len(v.Upstreams); i++ {
		if v.Upstreams[i-1].ID >= v.Upstreams[i].ID {
			return false
		}
	}
	return true
}

// live returns the upstreams that are not leaving.
func (v View) live() map[string]UpstreamView {
	live := make(map[string]UpstreamView, len(v.Upstreams))
	for _, u := range v.Upstreams {
		if !u.Leaving {
			live[u.ID] = u
		}
	}
	for _, u := range v.Upstreams {
		if u.Leaving { // an id listed twice counts as leaving
			delete(live, u.ID)
		}
	}
	return live
}
