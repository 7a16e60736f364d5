package ejection

import "time"

// UpstreamView is one upstream in a daemon's list.
type UpstreamView struct {
	ID      string
	Leaving bool
	// Joined is when the upstream appeared in a list that existed before, so
	// that it is ramped up; zero for upstreams of the daemon's first list.
	Joined time.Time
}

// View is a daemon's list of a service's upstreams. Order does not matter.
type View struct {
	Upstreams []UpstreamView
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
