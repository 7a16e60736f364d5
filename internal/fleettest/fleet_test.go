package fleettest_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/fleettest"
	"shallotglade/internal/standin"
	"shallotglade/internal/testkit"
	"shallotglade/pkg/admin"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/verdict"
)

func TestFleet(t *testing.T) { testkit.RunSpecs(t, "fleet of processes") }

var bin string

var _ = BeforeSuite(func() {
	bin = GinkgoT().TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "shallotglade/cmd/...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

var domains = []string{"tetouan", "rabat", "fes"}

// begin starts a platform, upstreams of the given services and daemons.
func begin(daemons, upstreams int, documents ...string) *fleettest.Fleet {
	dir, err := os.MkdirTemp("", "fleettest")
	Expect(err).NotTo(HaveOccurred())
	f := fleettest.New(bin, dir)
	f.LogDecisions = true
	DeferCleanup(func() {
		f.Close()
		if CurrentSpecReport().Failed() {
			printEnds(dir)
		}
		if os.Getenv("KEEP_LOGS") == "" {
			os.RemoveAll(dir)
		}
	})
	Expect(f.StartPlatform()).To(Succeed())
	for _, text := range documents {
		service, _, _ := strings.Cut(strings.TrimPrefix(text, "service: "), "\n")
		for i := range upstreams {
			_, err := f.StartUpstream(service, fmt.Sprintf("%s-%d", service, i), domains[i%3], 3)
			Expect(err).NotTo(HaveOccurred())
		}
	}
	for i := range daemons {
		_, err := f.StartDaemon(fmt.Sprintf("%s-%d", domains[i%3], i), domains[i%3])
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(f.AwaitReady(20 * time.Second)).To(Succeed())
	for _, text := range documents {
		version, err := f.Apply(context.Background(), text)
		Expect(err).NotTo(HaveOccurred())
		service, _, _ := strings.Cut(strings.TrimPrefix(text, "service: "), "\n")
		_, err = f.AwaitInForce(context.Background(), service, version, 20*time.Second)
		Expect(err).NotTo(HaveOccurred())
	}
	return f
}

// printEnds prints the last lines of all logs of a failed spec.
func printEnds(dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		fmt.Fprintf(GinkgoWriter, "--- %s\n%s\n", filepath.Base(file), strings.Join(lines[max(0, len(lines)-8):], "\n"))
	}
}

const (
	orders = "service: wheel-roster\ntimeouts: {request: 3s, attempt: 2s}\n"
	reads  = "service: stone-catalogue\n"
)

// order is what the callers were told about one key.
type order struct {
	told []verdict.Verdict
	ran  bool
}

// sendOrders lets callers send each order three times through different daemons
// and returns what they were told.
func sendOrders(ctx context.Context, f *fleettest.Fleet, callers, each int) map[string]*order {
	var mu sync.Mutex
	var wg sync.WaitGroup
	told := map[string]*order{}
	for n := range callers {
		places := f.Callers(fmt.Sprintf("clerk-%d", n), 3)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				key := fmt.Sprintf("k-%d-%d", n, i)
				o := &order{}
				for _, c := range places {
					got := c.Do(ctx, "wheel-roster", "POST", "/book", key, []byte(key))
					if got.Err == nil {
						o.told = append(o.told, got.Verdict)
						o.ran = o.ran || got.Verdict == verdict.Ran
					}
				}
				mu.Lock()
				told[key] = o
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return told
}

// expectAtMostOnce compares what ran with what the callers were told.
func expectAtMostOnce(f *fleettest.Fleet, told map[string]*order) {
	runs, err := f.Runs(context.Background(), "wheel-roster")
	Expect(err).NotTo(HaveOccurred())
	for key, o := range told {
		Expect(runs[key]).To(BeNumerically("<=", 1), "order %s ran %d times", key, runs[key])
		if o.ran {
			Expect(runs[key]).To(Equal(1), "order %s: told that it ran", key)
		}
		onlyNotRun := len(o.told) > 0
		for _, v := range o.told {
			onlyNotRun = onlyNotRun && v == verdict.NotRun
		}
		if onlyNotRun && len(o.told) == 3 {
			Expect(runs[key]).To(BeZero(), "order %s: told three times that it did not run", key)
		}
	}
}

var _ = Describe("A fleet of processes", func() {
	// Guards against an order that runs twice when its daemon is paused or
	// killed, or when the platform loses the reply to the claim.
	It("runs orders at most once while daemons freeze and die and the platform loses replies", func() {
		f := begin(6, 4, orders)
		ctx := context.Background()
		done := make(chan map[string]*order, 1)
		go func() { done <- sendOrders(ctx, f, 8, 25) }()
		for round := range 4 {
			d := f.Daemons[round]
			Expect(f.SetFaults(memstore.Faults{LoseReplies: 6, Latency: 5 * time.Millisecond})).To(Succeed())
			Expect(d.Signal(syscall.SIGSTOP)).To(Succeed())
			time.Sleep(700 * time.Millisecond)
			if round == 3 {
				d.Kill()
				break
			}
			Expect(d.Signal(syscall.SIGCONT)).To(Succeed())
		}
		told := <-done
		ran := 0
		for _, o := range told {
			if o.ran {
				ran++
			}
		}
		Expect(ran).To(BeNumerically(">", len(told)/2), "most orders should run despite the faults")
		expectAtMostOnce(f, told)
	})

	// Guards against a daemon that exits at once on SIGTERM: requests in flight
	// and answers that name it would be lost.
	It("loses no request while every daemon is replaced", func() {
		f := begin(6, 4, reads)
		ctx, stop := context.WithCancel(context.Background())
		load := standin.NewLoad()
		callers := f.Callers("carver", 12)
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			load.Run(ctx, callers, 2*time.Millisecond, func(c *standin.Caller, _ int) standin.Outcome {
				return c.Do(context.Background(), "stone-catalogue", "GET", "/x", "", nil)
			})
		}()
		for i, old := range f.Daemons[:6] {
			d, err := f.StartDaemon(fmt.Sprintf("%s-new-%d", old.Domain, i), old.Domain)
			Expect(err).NotTo(HaveOccurred())
			Expect(f.AwaitReady(20*time.Second, d)).To(Succeed())
			Expect(old.Signal(syscall.SIGTERM)).To(Succeed())
		}
		for _, old := range f.Daemons[:6] {
			Expect(old.Wait(40 * time.Second)).To(Succeed())
			Expect(f.Unregister(old.ID)).To(Succeed())
		}
		stop()
		wg.Wait()
		Expect(load.Lost).To(BeEmpty())
		Expect(load.Wrong).To(BeEmpty())
		Expect(load.OK).To(Equal(load.Sent), "statuses %v", load.ByStatus)
	})

	// Guards against work for an upstream that is about to end: 2 s after its
	// first sign it must get none, through no daemon.
	DescribeTable("sends nothing to an upstream 2 s after it says that it leaves",
		func(leave func(*fleettest.Fleet, *fleettest.Upstream)) {
			f := begin(6, 4, reads)
			ctx := context.Background()
			run := func(length time.Duration) *standin.Load {
				l := standin.NewLoad()
				ctx, cancel := context.WithTimeout(ctx, length)
				defer cancel()
				l.Run(ctx, f.Callers("carver", 6), 2*time.Millisecond, func(c *standin.Caller, _ int) standin.Outcome {
					return c.Do(context.Background(), "stone-catalogue", "GET", "/x", "", nil)
				})
				return l
			}
			run(500 * time.Millisecond)
			leave(f, f.Upstreams[0])
			run(2 * time.Second)
			before, err := standin.Executions(ctx, f.Upstreams[0].Address)
			Expect(err).NotTo(HaveOccurred())
			Expect(before.Served).To(BeNumerically(">", 0))
			l := run(time.Second)
			after, err := standin.Executions(ctx, f.Upstreams[0].Address)
			Expect(err).NotTo(HaveOccurred())
			Expect(after.Served).To(Equal(before.Served))
			Expect(l.OK).To(Equal(l.Sent))
		},
		Entry("in the membership list", func(f *fleettest.Fleet, u *fleettest.Upstream) {
			Expect(f.Register(platform.Member{
				ID: u.ID, Role: platform.RoleUpstream, Service: u.Service, Address: u.Address, Domain: u.Domain, Slots: u.Slots, State: platform.Leaving,
			})).To(Succeed())
		}),
		Entry("in its answers", func(_ *fleettest.Fleet, u *fleettest.Upstream) {
			Expect(standin.SetMode(context.Background(), u.Address, standin.Mode{Leaving: true})).To(Succeed())
		}),
	)

	// Guards against a daemon that cannot start, or serves old documents, while
	// the platform is away.
	It("starts a daemon from its peers while the platform is down", func() {
		f := begin(4, 3, reads)
		Expect(f.SetFaults(memstore.Faults{Down: true})).To(Succeed())
		d, err := f.StartDaemon("fes-late", "fes")
		Expect(err).NotTo(HaveOccurred())
		Expect(f.AwaitReady(20*time.Second, d)).To(Succeed())
		c := standin.NewCaller("carver", "fes", []string{d.Callers})
		got := c.Do(context.Background(), "stone-catalogue", "GET", "/x", "", nil)
		Expect(got.Err).NotTo(HaveOccurred())
		Expect(got.Status).To(Equal(200))
	})

	// Guards against one request that takes down the whole service.
	It("stops a request that crashes upstreams, through whichever daemon it comes", func() {
		f := begin(6, 6, reads)
		for i := range 12 {
			c := standin.NewCaller("carver", domains[i%3], []string{f.Daemons[i%6].Callers})
			c.Crash = true
			c.Do(context.Background(), "stone-catalogue", "GET", "/poison", "", nil)
			time.Sleep(100 * time.Millisecond)
		}
		crashed := 0
		for _, u := range f.Upstreams {
			if u.Exited() {
				crashed++
			}
		}
		Expect(crashed).To(BeNumerically("<=", 2))
		c := f.Callers("carver", 1)[0]
		Expect(c.Do(context.Background(), "stone-catalogue", "GET", "/x", "", nil).Status).To(Equal(200))
	})

	// Guards against last write wins: one of two operators would lose a change
	// without seeing it.
	It("lets exactly one of two racing operators win and shows the other the difference", func() {
		f := begin(3, 1, reads)
		ctx := context.Background()
		client, err := f.Client()
		Expect(err).NotTo(HaveOccurred())
		s, err := client.Service(ctx, "stone-catalogue")
		Expect(err).NotTo(HaveOccurred())
		results := make(chan error, 6)
		for i := range 6 {
			one, err := f.Client(f.Daemons[i%3])
			Expect(err).NotTo(HaveOccurred())
			go func() {
				_, err := one.Put(ctx, "stone-catalogue", s.Version, fmt.Appendf(nil, "%sretries: {attempts: %d}\n", reads, i+1))
				results <- err
			}()
		}
		won := 0
		for range 6 {
			err := <-results
			if err == nil {
				won++
				continue
			}
			var failure *admin.Failure
			Expect(errors.As(err, &failure)).To(BeTrue())
			Expect(failure.Reason).To(Equal(admin.ReasonConflict))
			Expect(failure.Difference).To(ContainSubstring("retries"))
		}
		Expect(won).To(Equal(1))
	})
})
