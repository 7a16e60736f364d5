package allowance

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"shallotglade/pkg/account"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/verdict"
)

// fleet is a number of controllers with an in-memory transport and platform.
type fleet struct {
	controllers []*Controller
	stores      []*memstoreWithOutage
	account     *account.Account
	// panics makes every look-up of an account panic.
	panics bool
}

// memstoreWithOutage is a connection to a shared platform that can fail on its own.
type memstoreWithOutage struct {
	platform.Store
	mu   sync.Mutex
	down bool
}

func (s *memstoreWithOutage) Update(ctx context.Context, key string, version uint64, value []byte) (platform.Object, error) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Update(ctx, key, version, value)
}

func (f *fleet) Version() uint64 { return 1 }
func (f *fleet) HasRates() bool  { return true }
func (f *fleet) Find(string) (*account.Account, bool) {
	if f.panics {
		panic("look-up")
	}
	return f.account, true
}

// Call implements Transport; the address is the index of a controller.
func (f *fleet) Call(ctx context.Context, address, _ string, body []byte) ([]byte, error) {
	i, _ := strconv.Atoi(address)
	time.Sleep(time.Millisecond)
	return f.controllers[i].Handle(ctx, "peer", body)
}

// run starts n controllers in a bubble with a fake clock, and test in it.
func (f *fleet) run(t *testing.T, n int, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		shared, began := memstore.New(), time.Now()
		shared.SetFaults(memstore.Faults{Latency: 5 * time.Millisecond})
		var candidates []Candidate
		for i := range n {
			candidates = append(candidates, Candidate{ID: fmt.Sprint("d", i), Address: fmt.Sprint(i)})
			f.stores = append(f.stores, &memstoreWithOutage{Store: shared})
			c := &Controller{Config: Config{
				Self: Self{ID: fmt.Sprint("d", i), Address: fmt.Sprint(i)}, Shards: 2, Store: f.stores[i], Transport: f, Accounts: f, Seed: uint64(i) + 1, Log: zerolog.Nop(),
				Candidates: func(int) []Candidate { return candidates },
				Registered: func(string) (string, uint64, bool) { return "", 0, false },
				Clock:      func() time.Duration { return time.Hour + time.Since(began) },
			}}
			c.Provision()
			f.controllers = append(f.controllers, c)
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, c := range f.controllers {
			go c.Run(ctx)
		}
		time.Sleep(500 * time.Millisecond)
		test(t)
		cancel()
		synctest.Wait()
	})
}

// send admits n requests at each controller, one every 10 ms, and returns the refusals.
func (f *fleet) send(n int) (refusals []*verdict.Error) {
	for range n {
		for _, c := range f.controllers {
			if _, refusal := c.Admit(context.Background(), f.account, time.Now().Add(2*time.Second)); refusal != nil {
				refusals = append(refusals, refusal)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return refusals
}

func (f *fleet) holders() (out []int) {
	for i, c := range f.controllers {
		if c.Stats().Held > 0 {
			out = append(out, i)
		}
	}
	return out
}

// Guards against a shutdown of the grantor, or its loss of the platform, that leaves the
// fleet without a grantor for seconds.
func TestGrantorMovesWithoutRefusals(t *testing.T) {
	f := &fleet{account: &account.Account{Name: "a", Rate: 1000, Burst: 1000}}
	f.run(t, 3, func(t *testing.T) {
		steps := func(name string, want int) {
			t.Helper()
			if refusals := f.send(300); len(refusals) > 0 || !slices.Equal(f.holders(), []int{want}) {
				t.Fatalf("%s: %d refusals, first %v; grantors %v", name, len(refusals), refusals[:min(1, len(refusals))], f.holders())
			}
		}
		steps("first candidate", 0)
		go f.controllers[0].Release(context.Background())
		steps("shutdown", 1)
		f.stores[1].mu.Lock()
		f.stores[1].down = true
		f.stores[1].mu.Unlock()
		steps("platform lost", 0+2)
	})
}

// Guards against requests above the allowance that run or wait, refusals without a time to
// return, callers told to return together, and tokens of requests that did not run.
func TestAllowanceOfAllHosts(t *testing.T) {
	f := &fleet{account: &account.Account{Name: "a", Rate: 10, Burst: 10}}
	f.run(t, 3, func(t *testing.T) {
		began := time.Now()
		refusals := f.send(100)
		admitted, seconds := 300-len(refusals), time.Since(began).Seconds()
		if float64(admitted) > 12.5+10*seconds || float64(admitted) < 9+10*seconds {
			t.Fatalf("%d requests admitted in %.1f s", admitted, seconds)
		}
		times := map[time.Duration]bool{}
		for _, r := range refusals {
			if r.Status != 429 || r.Verdict != verdict.NotRun || r.RetryAfter <= 0 {
				t.Fatalf("refusal %+v", r)
			}
			times[r.RetryAfter.Truncate(time.Millisecond)] = true
		}
		if len(times) < len(refusals)/4 {
			t.Fatalf("%d different times for %d refusals", len(times), len(refusals))
		}
		time.Sleep(2 * time.Second)
		for i := range 100 {
			release, refusal := f.controllers[1].Admit(context.Background(), f.account, time.Time{})
			if refusal != nil {
				t.Fatalf("request %d refused although the tokens of all others came back: %v", i, refusal)
			}
			release()
		}
	})
}

// Guards against a panic in this package that ends the daemon or stays without a refusal.
func TestPanicRefusesOnlyAccountsWithARate(t *testing.T) {
	f := &fleet{account: &account.Account{Name: "a", Rate: 10, Burst: 10}, panics: true}
	f.run(t, 1, func(t *testing.T) {
		_, refusal := f.controllers[0].Admit(context.Background(), f.account, time.Time{})
		if refusal == nil || refusal.Status != 503 || refusal.Verdict != verdict.NotRun {
			t.Fatalf("refusal %+v", refusal)
		}
		if _, refusal := f.controllers[0].Admit(context.Background(), &account.Account{Name: "b"}, time.Time{}); refusal != nil {
			t.Fatal("account without a rate refused")
		}
	})
}
