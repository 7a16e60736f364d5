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

// interleavingStore runs concurrentWrite once, between the read and the write of an
// Append call.
type interleavingStore struct {
	*memstore.Store
	concurrentWrite func()
}

func (s *interleavingStore) Get(ctx context.Context, key string) (platform.Object, error) {
	o, err := s.Store.Get(ctx, key)
	if write := s.concurrentWrite; write != nil {
		s.concurrentWrite = nil
		write()
	}
	return o, err
}

var _ = Describe("Log", func() {
	// Guards against entries that are lost, duplicated or have a wrong text when
	// writers run concurrently, lose replies, stop before they append or append
	// late.
	It("keeps the newest changes and repairs missing entries", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			ctx, store := context.Background(), memstore.New()
			interleaved := &interleavingStore{Store: store}
			log, interleavedLog := &history.Log{Store: store}, &history.Log{Store: interleaved}
			var changes, unappended []history.Entry
			appended := map[uint64]bool{}
			documentText := func(version uint64) string {
				if version == 0 {
					return ""
				}
				return fmt.Sprintf("document %d", version)
			}
			appendEntry := func(l *history.Log, e history.Entry) {
				if err := l.Append(ctx, "s", e, documentText(e.Previous)); err != nil {
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
				version := uint64(len(changes) + 1)
				e := history.Entry{Version: version, Time: time.Unix(int64(version), 0).UTC(), Author: "amal", Document: documentText(version), Previous: version - 1}
				changes = append(changes, e)
				return e
			}
			t.Repeat(map[string]func(*rapid.T){
				"append":  func(*rapid.T) { appendEntry(log, change()) },
				"append2": func(*rapid.T) { appendEntry(log, change()) },
				"stop":    func(*rapid.T) { unappended = append(unappended, change()) },
				"late": func(t *rapid.T) {
					if len(unappended) > 0 {
						appendEntry(log, unappended[0])
						unappended = unappended[1:]
					}
				},
				"lost": func(*rapid.T) {
					store.SetFaults(memstore.Faults{LoseReplies: 2})
					appendEntry(log, change())
					store.SetFaults(memstore.Faults{})
				},
				"race": func(*rapid.T) {
					first, second := change(), change()
					interleaved.concurrentWrite = func() { appendEntry(log, second) }
					appendEntry(interleavedLog, first)
				},
				"": func(t *rapid.T) {
					var want []history.Entry
					for _, e := range slices.Backward(changes) {
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

	// Guards against a history that exceeds the platform's size limit, so that no
	// later change can be appended.
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

	// Guards against returning an empty history during a platform outage.
	It("returns an error during a platform outage", func(ctx SpecContext) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{Down: true})
		log := &history.Log{Store: store}
		_, err := log.List(ctx, "s")
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(log.Append(ctx, "s", history.Entry{Version: 1}, "")).To(MatchError(platform.ErrUnavailable))
	})
})
