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
	// burstBytes is the approximate size of a write when there is no pause.
	burstBytes = 32 << 10
	// heapSampleInterval is the sampling interval of PeakHeapGrowth.
	heapSampleInterval = time.Millisecond
)

// EndlessServer answers each HTTP request with a fixed text, followed by a second text,
// the unit, which it repeats until the connection is closed.
type EndlessServer struct {
	// Address is the loopback address on which the server listens.
	Address string
	// Requests counts the requests read, Open the open connections, Opened all accepted
	// connections, and SentBytes the bytes of writes that contain units.
	Requests, Open, Opened atomic.Int32
	SentBytes              atomic.Int64
}

// NewEndlessServer starts a server that listens until the end of the running spec. It
// pauses before each unit; without a pause it sends many units per write. If unit is
// empty, it reads the next request of the connection after the text.
func NewEndlessServer(text, unit string, pause time.Duration) *EndlessServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(ln.Close)
	if unit != "" && pause == 0 {
		unit = strings.Repeat(unit, 1+burstBytes/len(unit))
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
		if err := s.sendAnswer(c, text, unit, pause); err != nil {
			return
		}
	}
}

// sendAnswer sends the text and the units until a write fails; if unit is empty, it returns
// after the text. Without a pause, the text and the first unit are sent in one write.
func (s *EndlessServer) sendAnswer(c net.Conn, text, unit string, pause time.Duration) error {
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
		s.SentBytes.Add(int64(n))
		next = unit
	}
}

// PeakHeapGrowth runs a task and returns the peak growth of the heap meanwhile, in
// bytes.
func PeakHeapGrowth(task func()) int64 {
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
			case <-time.After(heapSampleInterval):
			}
		}
	}()
	task()
	close(done)
	<-stopped
	return peak
}
