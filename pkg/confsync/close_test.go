package confsync_test

import (
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
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

// TestCloseOnOneProcessor guards against a Syncer whose Close never returns on a
// host with one processor and without asynchronous preemption, as the users'
// hosts are: the pool's own way of waiting spun without letting others run.
func TestCloseOnOneProcessor(t *testing.T) {
	RegisterTestingT(t)
	if os.Getenv(closeHelper) != "" {
		s, err := confsync.New(confsync.Config{
			Replica: confsync.NewReplica(), Store: memstore.New(), Transport: noTransport{},
			Peers: func() []confsync.Peer { return nil }, Relays: func(string) []confsync.Peer { return nil },
			Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
		})
		Expect(err).NotTo(HaveOccurred())
		s.Close()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	command := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestCloseOnOneProcessor$")
	command.Env = append(os.Environ(), closeHelper+"=1", "GOMAXPROCS=1", "GODEBUG=asyncpreemptoff=1")
	output, err := command.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), "%s", output)
}
