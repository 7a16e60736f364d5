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

// closeHelperEnv makes the test process close Syncers instead of starting a subprocess.
const closeHelperEnv = "CONFSYNC_CLOSE_HELPER"

type noTransport struct{}

func (noTransport) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, nil }

const (
	syncerCount = 20
	// maxCloseCPUTime is the CPU time that one Close may take. The scheduler
	// preempts a spinning goroutine after 10 ms at the earliest.
	maxCloseCPUTime = 5 * time.Millisecond
)

// TestCloseOnOneProcessor guards against a Close that spins. On a single processor
// without asynchronous preemption, the pool's own wait never yielded to the
// goroutines that it waited for.
func TestCloseOnOneProcessor(t *testing.T) {
	RegisterTestingT(t)
	if os.Getenv(closeHelperEnv) != "" {
		closeSyncers()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	command := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestCloseOnOneProcessor$")
	command.Env = append(os.Environ(), closeHelperEnv+"=1", "GOMAXPROCS=1", "GODEBUG=asyncpreemptoff=1")
	output, err := command.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), "%s", output)
}

func closeSyncers() {
	var syncers []*confsync.Syncer
	for range syncerCount {
		s, err := confsync.New(confsync.Config{
			Replica: confsync.NewReplica(), Store: memstore.New(), Transport: noTransport{},
			Peers: func() []confsync.Peer { return nil }, Relays: func(string) []confsync.Peer { return nil },
			Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
		})
		Expect(err).NotTo(HaveOccurred())
		syncers = append(syncers, s)
	}
	time.Sleep(50 * time.Millisecond) // The pools' goroutines have started.
	before := cpuTime()
	for _, s := range syncers {
		s.Close()
	}
	Expect(cpuTime() - before).To(BeNumerically("<", syncerCount*maxCloseCPUTime))
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
