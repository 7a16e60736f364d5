package platform_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

func TestPlatform(t *testing.T) { testkit.RunSpecs(t, "platform") }

var _ = Describe("WithMembers", func() {
	ctx := context.Background()

	// Guards against a host that is still used after its removal from the membership
	// list, in particular the last one and one that is removed during an outage, and
	// against a version that decreases when a host returns.
	It("reports the same members through Watch as the membership list", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			store := memstore.New()
			s := platform.WithMembers(store, store)
			listed, after, err := s.List(ctx, platform.MembersPrefix)
			if err != nil || len(listed) != 0 {
				t.Fatalf("empty list: %v, %v", listed, err)
			}
			copies, want := map[string]platform.Object{}, map[string]platform.Member{}
			watch := func() {
				objects, revision, err := s.Watch(ctx, platform.MembersPrefix, after, 0)
				if err != nil {
					t.Fatal(err)
				}
				for _, o := range objects {
					if o.Version > copies[o.Key].Version {
						copies[o.Key] = o
					}
				}
				after = revision
			}
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				id := rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "member")
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0:
					store.RemoveMember(id)
					delete(want, id)
				case 1, 2:
					m := platform.Member{ID: id, Role: platform.RoleDaemon, State: platform.Live}
					store.PutMember(m)
					want[id] = m
				default:
					watch()
				}
			}
			watch()
			var got []string
			for key, o := range copies {
				if !o.Deleted {
					got = append(got, key[len(platform.MembersPrefix):])
				}
			}
			slices.Sort(got)
			if w := slices.Sorted(maps.Keys(want)); fmt.Sprint(got) != fmt.Sprint(w) {
				t.Fatalf("watcher has %v, list has %v", got, w)
			}
			if objects, revision, err := s.Watch(ctx, platform.MembersPrefix, after, 0); err != nil || len(objects) > 0 || revision != after {
				t.Fatalf("a watch without a change returned %v, revision %d after %d, %v", objects, revision, after, err)
			}
		})
	})

	// Guards against a daemon that calls the platform in a busy loop while no host is
	// registered: Members returns immediately for revision 0.
	It("waits while the membership list has never had a member", func() {
		store := memstore.New()
		s := platform.WithMembers(store, store)
		ctx, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() {
			_, _, err := s.Watch(ctx, platform.MembersPrefix, 0, time.Hour)
			done <- err
		}()
		Eventually(func() uint64 { return store.Counts().Watches }).Should(BeNumerically(">", 0))
		cancel()
		Eventually(done, "10s").Should(Receive(MatchError(context.Canceled)))
	})

	// Guards against members that appear in lists of other objects, and against other
	// objects that the wrapper hides.
	It("passes through other prefixes and errors", func() {
		store := memstore.New()
		s := platform.WithMembers(store, store)
		store.PutMember(platform.Member{ID: "d1"})
		created, err := s.Create(ctx, "services/s", []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		objects, _, err := s.List(ctx, "services/")
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(Equal([]platform.Object{created}))
		objects, _, err = s.Watch(ctx, "services/", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(Equal([]platform.Object{created}))
		store.SetFaults(memstore.Faults{Down: true})
		_, revision, err := s.Watch(ctx, platform.MembersPrefix, 7, 0)
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(revision).To(BeEquivalentTo(7))
		_, _, err = s.List(ctx, platform.MembersPrefix)
		Expect(err).To(MatchError(platform.ErrUnavailable))
	})
})
