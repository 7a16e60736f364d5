package confsync

import (
	"testing"
	"time"
)

// host is a host whose boot-time clock is offset from that of others, and whose other
// clocks do not matter: a suspension or a jump of the wall clock moves only true time.
type host struct {
	bootedAt time.Duration
	tracker  ageTracker
	held     uint64
}

func (h *host) clock(now time.Duration) time.Duration { return now - h.bootedAt }

// ask makes h ask peer: sent, answered and received are true times. The reply is lost if
// received is 0.
func (h *host) ask(peer *host, sent, answered, received time.Duration) {
	stated := peer.tracker.state(peer.clock(answered))
	stated.Age = stated.Age.Truncate(time.Millisecond) + time.Millisecond
	if received > 0 {
		h.tracker.confirmByPeer(h.clock(sent), stated, h.held)
	}
}

// TestAgesNeverUnderstate guards against a daemon that accepts a revoked key, because it
// takes its knowledge for younger than it is. Each case returns the age that the host
// must have at 10 s, in ms, or -1 if it must not know any.
func TestAgesNeverUnderstate(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for name, c := range map[string]struct {
		play func(relay, h *host)
		want time.Duration
	}{
		"nothing confirmed": {func(*host, *host) {}, -1},
		"own read counts from its start, however late the reply": {func(_, h *host) {
			h.tracker.confirmByRead(h.clock(6*s), 3, 3)
		}, 4 * s},
		"a read of a version that is not applied": {func(_, h *host) {
			h.tracker.confirmByRead(h.clock(6*s), 4, 3)
		}, -1},
		"an earlier read that ends later changes nothing": {func(_, h *host) {
			h.tracker.confirmByRead(h.clock(8*s), 3, 3)
			h.tracker.confirmByRead(h.clock(7*s), 3, 3)
		}, 2 * s},
		"ages add up along the path": {func(relay, h *host) {
			relay.tracker.confirmByRead(relay.clock(7*s), 3, 3)
			h.ask(relay, 8*s, 8*s+ms, 8*s+2*ms)
		}, 3*s + 2*ms},
		"a host suspended between request and reply": {func(relay, h *host) {
			relay.tracker.confirmByRead(relay.clock(1*s), 3, 3)
			h.ask(relay, 1*s+500*ms, 1*s+501*ms, 9*s)
		}, 9*s + 2*ms},
		"a peer suspended after it made its statement": {func(relay, h *host) {
			relay.tracker.confirmByRead(relay.clock(2*s), 3, 3)
			h.ask(relay, 2*s, 2*s, 9*s)
		}, 8*s + ms},
		"a peer suspended before it made its statement": {func(relay, h *host) {
			relay.tracker.confirmByRead(relay.clock(2*s), 3, 3)
			h.ask(relay, 2*s, 9*s, 9*s+ms)
		}, 15*s + ms},
		"replies lost on a path that works one way": {func(relay, h *host) {
			relay.tracker.confirmByRead(relay.clock(7*s), 3, 3)
			h.ask(relay, 8*s, 8*s, 0)
		}, -1},
		"a peer that confirms a version not held here": {func(relay, h *host) {
			relay.tracker.confirmByRead(relay.clock(7*s), 4, 4)
			h.ask(relay, 8*s, 8*s, 8*s)
		}, -1},
		"a peer that holds a newer version than it has confirmed": {func(relay, h *host) {
			relay.tracker.confirmByRead(relay.clock(7*s), 3, 3)
			relay.held = 4
			h.ask(relay, 8*s, 8*s, 8*s)
		}, 3*s + ms},
		"a peer that knows nothing": {func(relay, h *host) {
			h.ask(relay, 8*s, 8*s, 8*s)
		}, -1},
		"an older statement than the own read": {func(relay, h *host) {
			relay.tracker.confirmByRead(relay.clock(5*s), 3, 3)
			h.tracker.confirmByRead(h.clock(7*s), 3, 3)
			h.ask(relay, 8*s, 8*s, 8*s)
		}, 3 * s},
		"a confirmation of the era before": {func(relay, h *host) {
			relay.tracker.confirmByRead(relay.clock(7*s), 9, 9)
			h.held = 1<<44 | 2
			h.ask(relay, 8*s, 8*s, 8*s)
		}, 3*s + ms},
	} {
		relay, h := &host{bootedAt: -100 * s, held: 3}, &host{bootedAt: 500 * ms, held: 3}
		c.play(relay, h)
		age, known := h.tracker.age(h.clock(10 * s))
		if known != (c.want >= 0) || known && age != c.want {
			t.Errorf("%s: age %v, known %t, want %v", name, age, known, c.want)
		}
	}
}

// TestInvalidAgesAreIgnored guards against a malformed message that makes a daemon's
// knowledge young.
func TestInvalidAgesAreIgnored(t *testing.T) {
	for _, stated := range []statedAge{
		{Version: 3, Age: -time.Second}, {Version: 3, Age: maxStatedAge + 1}, {Age: time.Second},
	} {
		var tracker ageTracker
		if tracker.confirmByPeer(time.Minute, stated, 3) || tracker.known {
			t.Errorf("%+v was accepted", stated)
		}
	}
}

// TestMessagesWithoutAgesAreUnchanged guards against daemons of earlier builds that refuse
// messages of this one, because they have fields that are not needed.
func TestMessagesWithoutAgesAreUnchanged(t *testing.T) {
	for name, c := range map[string]struct {
		message any
		fields  int
	}{
		"digest":                {digestMessage{Root: 1}, 1},
		"digest that asks":      {digestMessage{Root: 1, WantAge: true}, 2},
		"digest reply":          {digestReply{Ready: true}, 1},
		"digest reply with age": {digestReply{Ready: true, confirmedAge: newConfirmedAge(statedAge{Version: 7, Age: time.Microsecond})}, 3},
	} {
		body, err := encode(c.message)
		if err != nil {
			t.Fatal(err)
		}
		var fields map[int]any
		if err := decode(body, &fields); err != nil || len(fields) != c.fields {
			t.Errorf("%s: fields %v, error %v", name, fields, err)
		}
	}
	want := confirmReply{newConfirmedAge(statedAge{Version: 1<<44 | 7, Age: 1500*time.Millisecond + 1})}
	body, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var got confirmReply
	if err := decode(body, &got); err != nil || got.age() != (statedAge{Version: 1<<44 | 7, Age: 1501 * time.Millisecond}) {
		t.Errorf("reply %+v, error %v", got, err)
	}
}
