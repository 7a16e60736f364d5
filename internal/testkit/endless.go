package testkit

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const (
	// burst is about how many bytes a sender without pauses writes at once.
	burst = 32 << 10
	// heapInterval is how often HeapPeak looks at the heap.
	heapInterval = time.Millisecond
)

// EndlessServer answers each HTTP request with a text, and then sends a unit again
// and again until the connection is closed.
type EndlessServer struct {
	// Address is where it listens, on loopback.
	Address string
	// Requests counts the requests that it read, Open its connections now, Opened
	// those that it ever had, and Sent the bytes of writes with units.
	Requests, Open, Opened atomic.Int32
	Sent                   atomic.Int64
}

// NewEndlessServer starts a server for the running spec. It pauses before each unit,
// and sends many at a time when pause is zero. Without a unit it keeps the connection
// for the next request.
func NewEndlessServer(text, unit string, pause time.Duration) *EndlessServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(ln.Close)
	if unit != "" && pause == 0 {
		unit = strings.Repeat(unit, 1+burst/len(unit))
	}
	s := &EndlessServer{Address: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.Open.Add(1)
			s.Opened.Add(1)
			go s.serve(c, text, unit, pause)
		}
	}()
	return s
}

func (s *EndlessServer) serve(c net.Conn, text, unit string, pause time.Duration) {
	defer s.Open.Add(-1)
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		s.Requests.Add(1)
		if err := s.answer(c, text, unit, pause); err != nil {
			return
		}
	}
}

// answer returns only on an error, unless there is no unit. Without a pause the first
// unit arrives together with the text.
func (s *EndlessServer) answer(c net.Conn, text, unit string, pause time.Duration) error {
	next := text + unit
	if pause > 0 || unit == "" {
		if _, err := fmt.Fprint(c, text); err != nil || unit == "" {
			return err
		}
		next = unit
	}
	for {
		time.Sleep(pause)
		n, err := fmt.Fprint(c, next)
		if err != nil {
			return err
		}
		s.Sent.Add(int64(n))
		next = unit
	}
}

// HeapPeak runs a task and returns the most heap that it added, in bytes.
func HeapPeak(task func()) int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, peak := int64(m.HeapAlloc), int64(0)
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			runtime.ReadMemStats(&m)
			peak = max(peak, int64(m.HeapAlloc)-before)
			select {
			case <-done:
				return
			case <-time.After(heapInterval):
			}
		}
	}()
	task()
	close(done)
	<-stopped
	return peak
}
