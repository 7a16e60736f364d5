package confsync_test

import (
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform/memstore"
)

// closeHelper makes TestMain's process close a Syncer instead of running specs.
const closeHelper = "CONFSYNC_CLOSE_HELPER"

type noTransport struct{}

func (noTransport) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, nil }

const (
	closes = 20
	// closeTime is the processor time that one Close may take. The scheduler
	// interrupts a goroutine that spins after 10 ms at the earliest.
	closeTime = 5 * time.Millisecond
)

// TestCloseOnOneProcessor guards against a Close that spins. On a host with one
// processor, and threads that take turns, the pool's own way of waiting never
// let the goroutines run for which it waited.
func TestCloseOnOneProcessor(t *testing.T) {
	RegisterTestingT(t)
	if os.Getenv(closeHelper) != "" {
		closeMany()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	command := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestCloseOnOneProcessor$")
	command.Env = append(os.Environ(), closeHelper+"=1", "GOMAXPROCS=1", "GODEBUG=asyncpreemptoff=1")
	output, err := command.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), "%s", output)
}

func closeMany() {
	var syncers []*confsync.Syncer
	for range closes {
		s, err := confsync.New(confsync.Config{
			Replica: confsync.NewReplica(), Store: memstore.New(), Transport: noTransport{},
			Peers: func() []confsync.Peer { return nil }, Relays: func(string) []confsync.Peer { return nil },
			Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
		})
		Expect(err).NotTo(HaveOccurred())
		syncers = append(syncers, s)
	}
	time.Sleep(50 * time.Millisecond) // The pools' goroutines have started.
	before := processorTime()
	for _, s := range syncers {
		s.Close()
	}
	Expect(processorTime() - before).To(BeNumerically("<", closes*closeTime))
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
