package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotglade/pkg/claims"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/verdict"
)

const (
	writesPerSecond = 300
	// upstreamServiceTime is the time between an order's claim and its outcome.
	upstreamServiceTime = 25 * time.Millisecond
	// responseBytes is the body size of an order's response.
	responseBytes = 200
	service       = "bons-chantier"
	// expiredService is the service whose expired objects are swept during a run.
	expiredService = "expired"
)

// scenario is one row of the table.
type scenario struct {
	Layout string `json:"layout"`
	// Buckets is the number of buckets. The layout with an object per key uses
	// claims.MaxBuckets to spread keys over homes.
	Buckets  int           `json:"buckets"`
	Latency  time.Duration `json:"latencyNs"`
	Daemons  int           `json:"daemons"`
	SameHome bool          `json:"sameHome"`
	// Rate is the number of orders per second, Duration the length of the run.
	Rate     int           `json:"ordersPerSecond"`
	Duration time.Duration `json:"durationNs"`
}

// measurement is the result of one scenario.
type measurement struct {
	scenario
	// Won and Refused count orders.
	Won, Refused int
	// The following fields count platform calls; Deletes are the clean-up.
	Writes, Deletes, Reads, Conflicts, WritesRefused int64
	P50, P99                                         time.Duration
	// BytesPerOrder is the stored size of keys and values per order won.
	BytesPerOrder int
}

// bench runs one scenario.
type bench struct {
	scenario
	store   *limitedStore
	ledgers []claims.Ledger

	mu           sync.Mutex
	latency      *hdrhistogram.Histogram
	won, refused int
}

func (s scenario) newLedger(config claims.Config) claims.Ledger {
	construct := claims.NewObjects
	if s.Layout == "buckets" {
		construct, config.Buckets = claims.NewBuckets, s.Buckets
	}
	ledger, err := construct(config)
	if err != nil {
		panic(err)
	}
	return ledger
}

func (s scenario) measure(ctx context.Context) measurement {
	b := &bench{
		scenario: s,
		store:    newLimitedStore(0, writesPerSecond),
		latency:  hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3),
	}
	if s.Layout == "objects" {
		b.storeExpiredClaims(ctx)
	}
	b.store.SetFaults(memstore.Faults{Latency: s.Latency})
	for range s.Daemons {
		b.ledgers = append(b.ledgers, s.newLedger(claims.Config{Store: b.store}))
	}
	var group sync.WaitGroup
	if s.Layout == "objects" {
		group.Go(func() { b.sweep(ctx) })
	}
	b.sendOrders(ctx, &group)
	group.Wait()
	for _, l := range b.ledgers {
		_ = l.Close(ctx) // writes that are still queued lower the write count
	}
	return b.result()
}

// storeExpiredClaims stores one expired object for each order of the run, as in
// a steady state. It bypasses the write limit.
func (b *bench) storeExpiredClaims(ctx context.Context) {
	pastClock := func() time.Time { return time.Now().Add(-claims.DefaultRetention - 2*claims.MaxClockSkew) }
	ledger := b.newLedger(claims.Config{Store: b.store.Store, Now: pastClock})
	for i := range int(float64(b.Rate) * b.Duration.Seconds()) {
		key := claims.Key{Service: expiredService, Key: fmt.Sprint(i)}
		attempt := claims.Attempt{ID: claims.NewAttemptID()}
		if _, err := ledger.Claim(ctx, key, attempt); err == nil {
			_ = ledger.RecordOutcome(ctx, key, attempt, claims.Outcome{Verdict: verdict.Ran})
		}
	}
	_ = ledger.Close(ctx)
}

// sweep runs the sweepers of all daemons once over the expired service. Their
// rate limit spreads the deletes over the run.
func (b *bench) sweep(ctx context.Context) {
	var hosts []string
	for i := range b.Daemons {
		hosts = append(hosts, fmt.Sprint("daemon-", i))
	}
	var group sync.WaitGroup
	for _, self := range hosts {
		group.Go(func() {
			s := claims.Sweeper{
				Store: b.store, Self: self, Daemons: func() []string { return hosts }, Rate: 2 * float64(b.Rate),
			}
			for partition := range 256 {
				if _, err := s.Sweep(ctx, expiredService, partition); err != nil {
					time.Sleep(maxWriteWait)
				}
			}
		})
	}
	group.Wait()
}

// sendOrders starts orders at the configured rate, evenly spaced.
func (b *bench) sendOrders(ctx context.Context, group *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(1, uint64(b.Rate)))
	started := time.Now()
	for i := range int(float64(b.Rate) * b.Duration.Seconds()) {
		key := claims.Key{Service: service, Caller: "bench", Key: fmt.Sprint(b.Rate, "/", i)}
		ledger := b.ledgers[random.IntN(len(b.ledgers))]
		if b.SameHome {
			ledger = b.ledgers[key.Bucket(b.Buckets)%len(b.ledgers)]
		}
		time.Sleep(time.Until(started.Add(time.Duration(i) * time.Second / time.Duration(b.Rate))))
		group.Go(func() { b.processOrder(ctx, ledger, key) })
	}
}

// processOrder claims an order, simulates its execution and records its outcome.
func (b *bench) processOrder(ctx context.Context, ledger claims.Ledger, key claims.Key) {
	attempt := claims.Attempt{ID: claims.NewAttemptID()}
	started := time.Now()
	r, err := ledger.Claim(ctx, key, attempt)
	took := time.Since(started)
	won := err == nil && r.State == claims.Won
	b.mu.Lock()
	if won {
		b.won++
		_ = b.latency.RecordValue(took.Microseconds())
	} else {
		b.refused++
	}
	b.mu.Unlock()
	if won {
		time.Sleep(upstreamServiceTime)
		response := &claims.Response{Status: 201, Body: make([]byte, responseBytes)}
		_ = ledger.RecordOutcome(ctx, key, attempt, claims.Outcome{Verdict: verdict.Ran, Response: response})
	}
}

func (b *bench) result() measurement {
	m := measurement{
		scenario: b.scenario, Won: b.won, Refused: b.refused,
		Writes: b.store.writes.Load(), Deletes: b.store.deletes.Load(), Reads: b.store.reads.Load(),
		Conflicts: b.store.conflicts.Load(), WritesRefused: b.store.refused.Load(),
		P50: time.Duration(b.latency.ValueAtQuantile(50)) * time.Microsecond,
		P99: time.Duration(b.latency.ValueAtQuantile(99)) * time.Microsecond,
	}
	objects, _, err := b.store.Store.List(context.Background(), "claims/"+service+"/")
	if err == nil && b.won > 0 {
		for _, o := range objects {
			m.BytesPerOrder += len(o.Key) + len(o.Value)
		}
		m.BytesPerOrder /= b.won
	}
	return m
}
