package proxy

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ForwardStopKind is the kind of message by which a daemon that stops tells a home until
// when it can deliver the answer to a request that it has forwarded.
const ForwardStopKind = "forward-stop"

// forwardStopTimeout limits the announcement of a stop to a home.
const forwardStopTimeout = time.Second

// forwardStop is the body of the message.
type forwardStop struct {
	ID         string `cbor:"1,keyasint"`
	TimeLeftMS int64  `cbor:"2,keyasint"`
}

// EncodeForwardStop returns the body of the message for the request with the given id.
func EncodeForwardStop(id string, timeLeft time.Duration) ([]byte, error) {
	return cbor.Marshal(forwardStop{ID: id, TimeLeftMS: max(timeLeft.Milliseconds(), 0)})
}

// HandleForwardStop applies the message. The request, if it still waits here, is refused
// as soon as it would not end in time.
func (p *Proxy) HandleForwardStop(body []byte) error {
	var m forwardStop
	if err := forwardDecoder.Unmarshal(body, &m); err != nil {
		return errors.Wrap(err, "proxy: decode the stop of a forwarding daemon")
	}
	if m.TimeLeftMS < 0 || m.TimeLeftMS > math.MaxInt32 {
		return errors.Newf("proxy: the stop of a forwarding daemon is %d ms away", m.TimeLeftMS)
	}
	p.forwarded.start(m.ID, time.Now().Add(time.Duration(m.TimeLeftMS)*time.Millisecond))
	return nil
}

// announceStop tells the home as soon as this daemon's drain starts. The returned function
// must be called when the home has answered.
func (p *Proxy) announceStop(home Peer, id string) (cancel func()) {
	return p.Drain.onStart(func(stopAt time.Time) {
		ctx, cancel := context.WithTimeout(context.Background(), forwardStopTimeout)
		defer cancel()
		if err := p.Forwarder.AnnounceStop(ctx, home, id, time.Until(stopAt)-forwardMargin); err != nil {
			p.Log.Warn().Str("request", id).Str("home", home.ID).Err(err).Msg("drain: home of a request not told that this daemon stops")
		}
	})
}

// forwardedDrains holds the drains of the daemons that forwarded the requests in progress,
// by request id.
type forwardedDrains struct {
	mu     sync.Mutex
	drains map[string]*Drain
}

// add adds the drain of a request. The returned function removes it.
func (f *forwardedDrains) add(id string, d *Drain) (remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drains == nil {
		f.drains = map[string]*Drain{}
	}
	f.drains[id] = d
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		// A caller may use an id twice.
		if f.drains[id] == d {
			delete(f.drains, id)
		}
	}
}

// start starts the drain of a request that is still in progress. A second start has no
// effect.
func (f *forwardedDrains) start(id string, stopAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.drains[id]; d != nil {
		d.Start(stopAt)
		delete(f.drains, id)
	}
}
