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

	// Guards against a host that is still used after it vanished from the
	// membership list, in particular the last one and one that vanishes during
	// an outage, and against versions that go back for a host that returns.
	It("brings a watcher to the same members as the list", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			behind := memstore.New()
			s := platform.WithMembers(behind, behind)
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
					behind.RemoveMember(id)
					delete(want, id)
				case 1, 2:
					m := platform.Member{ID: id, Role: platform.RoleDaemon, State: platform.Live}
					behind.PutMember(m)
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

	// Guards against a daemon that calls the platform without a pause while no
	// host is registered: Members returns at once for revision 0.
	It("waits while the membership list has never had a member", func() {
		behind := memstore.New()
		s := platform.WithMembers(behind, behind)
		ctx, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() {
			_, _, err := s.Watch(ctx, platform.MembersPrefix, 0, time.Hour)
			done <- err
		}()
		Eventually(func() uint64 { return behind.Counts().Watches }).Should(BeNumerically(">", 0))
		cancel()
		Eventually(done, "10s").Should(Receive(MatchError(context.Canceled)))
	})

	// Guards against members that show up in lists of other objects, and other
	// objects that are hidden by the wrapper.
	It("leaves other prefixes and outages as they are", func() {
		behind := memstore.New()
		s := platform.WithMembers(behind, behind)
		behind.PutMember(platform.Member{ID: "d1"})
		created, err := s.Create(ctx, "services/s", []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		objects, _, err := s.List(ctx, "services/")
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(Equal([]platform.Object{created}))
		objects, _, err = s.Watch(ctx, "services/", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(Equal([]platform.Object{created}))
		behind.SetFaults(memstore.Faults{Down: true})
		_, revision, err := s.Watch(ctx, platform.MembersPrefix, 7, 0)
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(revision).To(BeEquivalentTo(7))
		_, _, err = s.List(ctx, platform.MembersPrefix)
		Expect(err).To(MatchError(platform.ErrUnavailable))
	})
})
