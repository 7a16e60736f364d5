package history_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/history"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

func TestHistory(t *testing.T) { testkit.RunSpecs(t, "history") }

// raceStore runs another writer between a writer's read and its write.
type raceStore struct {
	*memstore.Store
	meanwhile func()
}

func (s *raceStore) Get(ctx context.Context, key string) (platform.Object, error) {
	o, err := s.Store.Get(ctx, key)
	if run := s.meanwhile; run != nil {
		s.meanwhile = nil
		run()
	}
	return o, err
}

var _ = Describe("Log", func() {
	// Guards against changes that vanish, appear twice or show another text
	// when writers race, lose replies, stop before they append or append late.
	It("keeps the newest changes and repairs the one before", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			ctx, store := context.Background(), memstore.New()
			race := &raceStore{Store: store}
			log, racing := &history.Log{Store: store}, &history.Log{Store: race}
			var written, late []history.Entry
			appended := map[uint64]bool{}
			text := func(version uint64) string {
				if version == 0 {
					return ""
				}
				return fmt.Sprintf("document %d", version)
			}
			add := func(l *history.Log, e history.Entry) {
				if err := l.Append(ctx, "s", e, text(e.Previous)); err != nil {
					t.Fatalf("append: %v", err)
				}
				appended[e.Version] = true
				if e.Previous != 0 {
					if _, ok := appended[e.Previous]; !ok {
						appended[e.Previous] = false
					}
				}
			}
			change := func() history.Entry {
				version := uint64(len(written) + 1)
				e := history.Entry{Version: version, Time: time.Unix(int64(version), 0).UTC(), Author: "amal", Document: text(version), Previous: version - 1}
				written = append(written, e)
				return e
			}
			t.Repeat(map[string]func(*rapid.T){
				"append":  func(*rapid.T) { add(log, change()) },
				"append2": func(*rapid.T) { add(log, change()) },
				"stop":    func(*rapid.T) { late = append(late, change()) },
				"late": func(t *rapid.T) {
					if len(late) > 0 {
						add(log, late[0])
						late = late[1:]
					}
				},
				"lost": func(*rapid.T) {
					store.SetFaults(memstore.Faults{LoseReplies: 2})
					add(log, change())
					store.SetFaults(memstore.Faults{})
				},
				"race": func(*rapid.T) {
					first, second := change(), change()
					race.meanwhile = func() { add(log, second) }
					add(racing, first)
				},
				"": func(t *rapid.T) {
					var want []history.Entry
					for _, e := range slices.Backward(written) {
						if real, known := appended[e.Version]; known && len(want) < history.MaxEntries {
							if !real {
								e = history.Entry{Version: e.Version, Document: e.Document, Repaired: true}
							}
							want = append(want, e)
						}
					}
					got, err := log.List(ctx, "s")
					if err != nil || !slices.Equal(got, want) {
						t.Fatalf("history %v, %v\nwant %v", got, err, want)
					}
				},
			})
		})
	})

	// Guards against a history that outgrows the platform's limit and blocks
	// every later change.
	It("drops old entries that do not fit", func(ctx SpecContext) {
		log := &history.Log{Store: memstore.New()}
		for v := uint64(1); v <= 5; v++ {
			e := history.Entry{Version: v, Document: strings.Repeat("x", 400<<10), Previous: v - 1}
			Expect(log.Append(ctx, "s", e, "")).To(Succeed())
		}
		Expect(log.List(ctx, "s")).To(HaveLen(2))
		_, err := log.Get(ctx, "s", 1)
		Expect(err).To(MatchError(history.ErrNotFound))
		Expect(log.Get(ctx, "s", 5)).To(HaveField("Previous", uint64(4)))
	})

	// Guards against an outage being taken for an empty history.
	It("reports an outage", func(ctx SpecContext) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{Down: true})
		log := &history.Log{Store: store}
		_, err := log.List(ctx, "s")
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(log.Append(ctx, "s", history.Entry{Version: 1}, "")).To(MatchError(platform.ErrUnavailable))
	})
})
