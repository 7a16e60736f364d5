package upstream

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// answerMemory bounds the memory of all answers that are arriving, in bytes: a
// quarter of the 184 MB of the smallest host. As much is for everything else that a
// daemon holds, and the collector lets the memory double before it frees any.
const answerMemory = 184_000_000 / 4

var (
	errTooLarge = errors.New("the answer is too large to be held")
	errCrowded  = errors.New("the answer was the largest when the memory for answers was used up")
)

// memory is the memory of the answers that are arriving.
type memory struct {
	mu       sync.Mutex
	used     int
	arriving map[*share]struct{}
	// freed is signalled when a share closes or has to.
	freed *sync.Cond
}

// share is the part of one answer.
type share struct {
	of   *memory
	conn *conn
	held int
	// lost means that the answer has to end for the sake of the others.
	lost bool
}

func newMemory() *memory {
	m := &memory{arriving: map[*share]struct{}{}}
	m.freed = sync.NewCond(&m.mu)
	return m
}

// open returns the share of an answer on a connection; close releases it.
func (m *memory) open(c *conn) *share {
	s := &share{of: m, conn: c}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arriving[s] = struct{}{}
	return s
}

func (s *share) close() {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	s.of.used -= s.held
	delete(s.of.arriving, s)
	s.of.freed.Broadcast()
}

// take adds n bytes to the share. While there are not as many left, the largest
// answer ends: one that comes without end grows to be the largest, so that the
// others go on.
func (s *share) take(n int) error {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	for !s.lost {
		if s.of.used+n <= answerMemory {
			s.held += n
			s.of.used += n
			return nil
		}
		largest := s.of.largest(s, n)
		if largest != s {
			// It ends as soon as it sees that its connection is closed.
			largest.conn.close()
		}
		if !largest.lost {
			largest.lost = true
			s.of.freed.Broadcast()
		}
		if !s.lost {
			s.of.freed.Wait()
		}
	}
	return errCrowded
}

// largest returns the share that would be the largest if wanting took n bytes more.
// The caller holds the lock.
func (m *memory) largest(wanting *share, n int) *share {
	found, size := wanting, wanting.held+n
	for s := range m.arriving {
		if s.held > size {
			found, size = s, s.held
		}
	}
	return found
}

// ended reports whether the answer had to end.
func (s *share) ended() bool {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	return s.lost
}
