package memstore_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

func TestMemstore(t *testing.T) { testkit.RunSpecs(t, "memstore") }

var _ = Describe("Watch", func() {
	// Guards against a log that loses or repeats a change, in particular when superseded
	// entries are removed.
	It("returns the same changes as a scan of all objects", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			ctx, s, expected := context.Background(), memstore.New(), map[string]platform.Object{}
			for range rapid.IntRange(1, 4000).Draw(t, "writes") {
				key := fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key"))
				old := expected[key]
				if old.Version == 0 || old.Deleted {
					expected[key], _ = s.Create(ctx, key, nil)
				} else if rapid.Bool().Draw(t, "update") {
					expected[key], _ = s.Update(ctx, key, old.Version, nil)
				} else if s.Delete(ctx, key, old.Version) == nil {
					_, revision, _ := s.List(ctx, "")
					expected[key] = platform.Object{Key: key, Version: revision, Deleted: true}
				}
			}
			_, revision, _ := s.List(ctx, "")
			after := rapid.Uint64Range(0, revision).Draw(t, "after")
			got, _, err := s.Watch(ctx, "k", after, 0)
			if err != nil {
				t.Fatal(err)
			}
			var want []platform.Object
			for _, o := range expected {
				if o.Version > after {
					want = append(want, o)
				}
			}
			slices.SortFunc(want, func(a, b platform.Object) int { return int(a.Version) - int(b.Version) })
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("after %d: got %v, want %v", after, got, want)
			}
		})
	})
})

// BenchmarkWatch measures a watch that returns one change among 50,000 objects.
func BenchmarkWatch(b *testing.B) {
	ctx, s := context.Background(), memstore.New()
	for i := range 50_000 {
		if _, err := s.Create(ctx, fmt.Sprintf("claims/%d", i), []byte("v")); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		revision := uint64(50_000)
		if _, _, err := s.Watch(ctx, "claims/", revision-1, 0); err != nil {
			b.Fatal(err)
		}
	}
}
