package daemon

import (
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/memory"
	"shallotglade/pkg/peer"
	"shallotglade/pkg/proxy"
)

const (
	// runtimeMemoryShare is the part of the host's memory that the Go runtime may take before
	// the garbage collector runs more often. The rest is for the program text and for buffers of
	// the kernel that count towards the host's limit.
	runtimeMemoryShare = 0.85
	// sentCopies is how often a request that is forwarded is in memory besides the request itself:
	// as the message, as the frame, and in the encoder. A received one is there once besides its frame.
	sentCopies, receivedCopies = 3, 1
	// maxForwardBytes is the largest request that fits into a frame. Its other fields, which are
	// limited by the size of a header, take the rest.
	maxForwardBytes = peer.DefaultMaxFrameBytes - 256<<10
)

// provisionMemory creates the memory budget and sets the memory limit of the Go runtime.
func (d *Daemon) provisionMemory() {
	mb := d.settings.Capacity.MemoryMB
	d.memory = memory.New(mb)
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb * 1e6 * runtimeMemoryShare))
	}
}

// heldCopy holds the memory of copies between daemons, which cannot be evicted.
type heldCopy struct{}

// StalledSince implements memory.Holder. Timeouts end a call whose peer stalls.
func (heldCopy) StalledSince() (time.Time, bool) { return time.Time{}, false }

// Evict implements memory.Holder.
func (heldCopy) Evict() {}

// holdFrame counts a frame of the peer transport.
func (d *Daemon) holdFrame(bytes int) (release func()) {
	a := d.memory.Open(false, heldCopy{})
	a.Add(int64(bytes))
	return a.Close
}

// errNoForwardMemory means that there is no memory for the copies of a forwarded request.
var errNoForwardMemory = errors.New("no memory for a forwarded request")

// reserveCopies reserves memory for the copies of a forwarded request, or fails at once.
func reserveCopies(b *memory.Budget, bytes int) (release func(), err error) {
	a := b.Open(false, heldCopy{})
	if result, _ := a.Grow(time.Now(), memory.Small, int64(bytes)); result != memory.Granted {
		a.Close()
		return nil, errNoForwardMemory
	}
	return a.Close, nil
}

// forwardBytes returns the approximate size of a forwarded request.
func forwardBytes(in *proxy.Incoming) int {
	n := len(in.Body) + len(in.URI)
	for _, h := range in.Headers {
		n += len(h.Name) + len(h.Value) + headerBytes
	}
	return n
}

// headerBytes is the memory of an upstream.Header besides its text.
const headerBytes = 32
