package catalog_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/catalog"
	"shallotglade/pkg/document"
	"shallotglade/pkg/ejection"
	"shallotglade/pkg/panics"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/telemetry"
)

func TestCatalog(t *testing.T) { testkit.RunSpecs(t, "catalog") }

func documentObject(name string, version uint64, text string) platform.Object {
	value, err := document.Stored{Document: text, Author: "atlas"}.Encode()
	if err != nil {
		panic(err)
	}
	return platform.Object{Key: document.ServicesPrefix + name, Version: version, Value: value}
}

func memberObject(m platform.Member) platform.Object {
	value, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return platform.Object{Key: platform.MembersPrefix + m.ID, Version: m.Version, Value: value}
}

func upstreamObject(id, service string, version uint64) platform.Object {
	return memberObject(platform.Member{
		ID: id, Role: platform.RoleUpstream, Service: service, Address: "10.0.0.1:80", Domain: "fes", Slots: 3, State: platform.Live, Version: version,
	})
}

func recordObject(service string, version uint64, ejected ...string) platform.Object {
	r := ejection.Record{Service: service}
	for _, id := range ejected {
		r.Entries = append(r.Entries, ejection.Entry{
			Upstream: id, State: ejection.Ejected, Rounds: 1, Since: time.Now().UnixMilli(), Until: time.Now().Add(time.Minute).UnixMilli(), Reason: "failures",
		})
	}
	value, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return platform.Object{Key: catalog.EjectionsPrefix + service, Version: version, Value: value}
}

func standings(board *blackboard.Board, service string) map[string]string {
	s, ok := board.Service(service)
	if !ok {
		return nil
	}
	out := map[string]string{}
	for _, u := range s.Status().Upstreams {
		out[u.ID] = u.Standing
	}
	return out
}

var _ = Describe("Catalog", func() {
	var (
		board *blackboard.Board
		c     *catalog.Catalog
		log   *bytes.Buffer
	)
	BeforeEach(func() {
		board, log = blackboard.New("d1", "fes"), &bytes.Buffer{}
		c = catalog.New(board, zerolog.New(log), telemetry.NewMetrics())
	})
	perDomain := func() int {
		GinkgoHelper()
		s, ok := board.Service("s")
		Expect(ok).To(BeTrue())
		return s.Document().Homes.PerDomain
	}

	// Guards against an older document or record replacing a newer one.
	It("ignores older versions", func() {
		c.Apply(upstreamObject("u1", "s", 1))
		c.Apply(upstreamObject("u2", "s", 2))
		c.Apply(documentObject("s", 9, "service: s\nfloor: {share: 50%}\nhomes: {perDomain: 2}"))
		c.Apply(recordObject("s", 11, "u1"))
		c.Apply(documentObject("s", 8, "service: s\nhomes: {perDomain: 3}"))
		c.Apply(recordObject("s", 10, "u2"))
		Expect(perDomain()).To(Equal(2))
		Expect(standings(board, "s")).To(Equal(map[string]string{"u1": "ejected", "u2": "normal"}))
	})

	// Guards against a daemon that keeps in force what a restored store has lost, because the
	// revisions of the restored objects are lower.
	DescribeTable("replaces what a store restored from a copy has lost", func(configuration bool) {
		const restored = 1 << 44
		put := func(version uint64, service string) {
			o := documentObject("s", version, "service: s\nupstreams: {membership: "+service+"}")
			if configuration {
				d := document.New("s")
				d.Upstreams.Membership = service
				value, err := (&document.Configuration{Version: version, Services: []*document.Service{d}}).Encode()
				Expect(err).NotTo(HaveOccurred())
				o = platform.Object{Key: document.ConfigurationsPrefix + "main", Version: version, Value: value}
			}
			c.Apply(o)
		}
		put(8, "lost")
		c.Apply(recordObject("s", 7, "u1"))
		c.Apply(upstreamObject("u1", "kept", 1))
		c.Apply(upstreamObject("vanished", "kept", 6))
		put(restored|3, "kept")
		put(9, "lost")
		c.Apply(recordObject("s", restored|2))
		c.Apply(platform.Object{Key: platform.MembersPrefix + "vanished", Version: restored | 5, Deleted: true})
		Expect(standings(board, "s")).To(Equal(map[string]string{"u1": "normal"}))
	}, Entry("as documents", false), Entry("as a configuration", true))

	// Guards against a configuration that ends every daemon which reads it.
	It("keeps the configuration in force if the decoder of the next one panics", func() {
		panics.SetLogger(zerolog.New(GinkgoWriter))
		c.SetConfigurationDecoder(func(value []byte) (*document.Configuration, error) {
			return &document.Configuration{Services: []*document.Service{document.New(string(value[1]))}}, nil
		})
		before := panics.Total(panics.Platform)
		c.Apply(platform.Object{Key: document.ConfigurationsPrefix + "main", Version: 1, Value: []byte("as")})
		c.Apply(platform.Object{Key: document.ConfigurationsPrefix + "main", Version: 2, Value: []byte("a")})
		Expect(board.Services()).To(HaveLen(1))
		Expect(board.Services()[0].Name).To(Equal("s"))
		Expect(panics.Total(panics.Platform)).To(Equal(before + 1))
	})

	// Guards against a daemon that goes back to an older configuration than it has served, because
	// the store was restored from a copy.
	It("keeps a newer configuration than that of a restored store until operators write it again", func() {
		const era = 1 << 44
		put := func(c *catalog.Catalog, version, stated uint64) {
			value, err := (&document.Configuration{Version: stated, Services: []*document.Service{document.New(fmt.Sprint("s", stated))}}).Encode()
			Expect(err).NotTo(HaveOccurred())
			c.Apply(platform.Object{Key: document.ConfigurationsPrefix + "main", Version: version, Value: value})
		}
		inForce := func(b *blackboard.Board) string { return b.Services()[0].Name }
		put(c, 4, 7)
		put(c, 6, 9)
		for _, step := range []struct {
			version, stated uint64
			want            string
		}{
			{era | 3, 7, "s9"},
			{era | 5, 8, "s9"}, // written again before 9 is
			{2*era | 3, 7, "s9"},
			{2*era | 7, 9, "s9"},
			{2*era | 8, 10, "s10"},
			{2*era | 9, 8, "s8"}, // written by an operator, not restored
			{3*era | 9, 8, "s8"},
		} {
			put(c, step.version, step.stated)
			Expect(inForce(board)).To(Equal(step.want), "%d in version %x", step.stated, step.version)
			Expect(board.ConfigurationVersion()).To(Equal(step.version), "it counts as what the store holds")
		}
		started := blackboard.New("d2", "fes")
		put(catalog.New(started, zerolog.Nop(), telemetry.NewMetrics()), era|3, 7)
		Expect(inForce(started)).To(Equal("s7"), "a daemon that has served nothing newer")
	})

	// Guards against waiting requests for a removed service that are sent to a leaving upstream.
	It("tells a removed service with waiting requests which upstreams are leaving", func() {
		configure := func(version uint64, services ...string) {
			configuration := document.Configuration{Version: version}
			for _, name := range services {
				configuration.Services = append(configuration.Services, document.New(name))
			}
			value, err := configuration.Encode()
			Expect(err).NotTo(HaveOccurred())
			c.Apply(platform.Object{Key: document.ConfigurationsPrefix + "main", Version: version, Value: value})
		}
		configure(1, "s", "t")
		c.Apply(upstreamObject("u1", "s", 2))
		s, _ := board.Service("s")
		var running *blackboard.Attempt
		for range 3 {
			running, _, _ = s.Begin(time.Now(), blackboard.AttemptRequest{})
		}
		waiting := s.Await(time.Now(), blackboard.WaitRequest{})
		Expect(waiting.Granted).NotTo(Receive())
		configure(3, "t")
		_, found := board.Service("s")
		Expect(found).To(BeFalse())
		c.Apply(memberObject(platform.Member{
			ID: "u1", Role: platform.RoleUpstream, Service: "s", Address: "10.0.0.1:80", Domain: "fes", Slots: 3, State: platform.Leaving, Version: 4,
		}))
		s.Release(time.Now(), running)
		var grant blackboard.Grant
		select {
		case grant = <-waiting.Granted:
		default:
		}
		Expect(grant.Attempt).To(BeNil(), "sent to an upstream that is leaving")
	})

	// Guards against a removed service that keeps its routes, and against the loss
	// of upstreams and records of a service that is created again.
	It("applies deletions of documents, records and members", func() {
		c.Apply(documentObject("s", 1, "service: s\nroutes: [{path: /s}]"))
		c.Apply(upstreamObject("u1", "s", 2))
		c.Apply(upstreamObject("u2", "s", 3))
		c.Apply(recordObject("s", 4, "u1"))
		c.Apply(platform.Object{Key: "services/s", Version: 5, Deleted: true})
		_, _, ok := board.Route("", "", "/s")
		Expect(ok).To(BeFalse())
		c.Apply(documentObject("s", 6, "service: s\nfloor: {share: 50%}"))
		Expect(standings(board, "s")).To(Equal(map[string]string{"u1": "ejected", "u2": "normal"}))
		c.Apply(platform.Object{Key: "ejections/s", Version: 7, Deleted: true})
		Expect(standings(board, "s")).To(HaveKeyWithValue("u1", "normal"))
		c.Apply(platform.Object{Key: "members/u1", Version: 8, Deleted: true})
		Expect(standings(board, "s")).To(Equal(map[string]string{"u2": "normal"}))
	})

	// Guards against a starting daemon that receives a record or members before the
	// document and drops them: it would send requests to ejected upstreams, or to none.
	It("applies records and members that arrive before the document", func() {
		c.Apply(recordObject("s", 3, "u1"))
		c.Apply(upstreamObject("u1", "pool", 1))
		c.Apply(upstreamObject("u2", "pool", 2))
		c.Apply(documentObject("s", 4, "service: s\nfloor: {share: 50%}\nupstreams: {membership: pool}"))
		Expect(standings(board, "s")).To(Equal(map[string]string{"u1": "ejected", "u2": "normal"}))
	})

	// Guards against an upstream that stays in a service it has left, and against a
	// list of daemons that keeps a member after its role has changed.
	It("gives services the same members as a naive evaluation of all objects", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			board := blackboard.New("d1", "fes")
			c := catalog.New(board, zerolog.Nop(), telemetry.NewMetrics())
			var daemons []string
			c.OnDaemons(func(list []platform.Member) {
				daemons = nil
				for _, m := range list {
					daemons = append(daemons, m.ID)
				}
			})
			names := []string{"a", "b"}
			current := map[string]platform.Member{}
			steps := rapid.IntRange(1, 30).Draw(t, "steps")
			for i := range steps {
				id := rapid.SampledFrom([]string{"m1", "m2", "m3"}).Draw(t, "member")
				m := platform.Member{ID: id, Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", Domain: "fes", Version: uint64(i + 1), State: platform.Live}
				switch rapid.IntRange(0, 4).Draw(t, "change") {
				case 0:
					delete(current, id)
					c.Apply(platform.Object{Key: "members/" + id, Version: m.Version, Deleted: true})
					continue
				case 1:
					m.Role = platform.RoleDaemon
				case 2:
					name := rapid.SampledFrom(names).Draw(t, "document")
					membership := rapid.SampledFrom(names).Draw(t, "membership")
					c.Apply(documentObject(name, m.Version, "service: "+name+"\nupstreams: {membership: "+membership+"}"))
					continue
				default:
					m.Role, m.Service = platform.RoleUpstream, rapid.SampledFrom(names).Draw(t, "service")
				}
				current[id] = m
				c.Apply(memberObject(m))
			}
			want := map[string][]string{}
			for _, id := range []string{"m1", "m2", "m3"} {
				if m, ok := current[id]; ok {
					want[m.Role+m.Service] = append(want[m.Role+m.Service], id)
				}
			}
			slices.Sort(daemons)
			if !slices.Equal(daemons, want[platform.RoleDaemon]) {
				t.Fatalf("daemons %v, want %v", daemons, want[platform.RoleDaemon])
			}
			for _, s := range board.Services() {
				var got []string
				for _, u := range s.Upstreams() {
					got = append(got, u.ID)
				}
				if ids := want[platform.RoleUpstream+s.Document().Upstreams.Membership]; !slices.Equal(got, ids) {
					t.Fatalf("service %s: upstreams %v, want %v", s.Name, got, ids)
				}
			}
		})
	})

	// Guards against an older daemon that rejects what a newer one accepted.
	It("puts a document with unknown fields in force and reports them", func() {
		c.Apply(documentObject("s", 1, "service: s\nhomes: {perDomain: 2}\nnewer: {field: 1}\nlimits: {burstiness: 3}"))
		Expect(perDomain()).To(Equal(2))
		s, _ := board.Service("s")
		Expect(s.Status().UnknownFields).To(ConsistOf("newer", "limits.burstiness"))
		Expect(log.String()).To(ContainSubstring("config: document has fields unknown to this version"))
	})

	// Guards against a service that stops because a later version of its document
	// cannot be read.
	DescribeTable("keeps the previous document in force", func(o platform.Object, line string) {
		c.Apply(documentObject("s", 1, "service: s\nhomes: {perDomain: 2}"))
		c.Apply(o)
		Expect(perDomain()).To(Equal(2))
		Expect(log.String()).To(ContainSubstring(line))
		c.Apply(documentObject("s", 3, "service: s\nhomes: {perDomain: 3}"))
		Expect(perDomain()).To(Equal(3))
	},
		Entry("value that is not JSON", platform.Object{Key: "services/s", Version: 2, Value: []byte("{")}, "config: document cannot be read"),
		Entry("syntax error", documentObject("s", 2, "service: ["), "config: document is invalid or names another service"),
		Entry("empty text", documentObject("s", 2, ""), "config: document is invalid or names another service"),
		Entry("value out of range", documentObject("s", 2, "service: s\nhomes: {perDomain: -1}"), "config: document is invalid or names another service"),
		Entry("document of another service", documentObject("s", 2, "service: t"), "config: document is invalid or names another service"))

	// Guards against an unreadable record that still excludes upstreams.
	It("excludes no upstream if the record cannot be read", func() {
		c.Apply(documentObject("s", 1, "service: s\nfloor: {share: 50%}"))
		c.Apply(upstreamObject("u1", "s", 2))
		c.Apply(upstreamObject("u2", "s", 3))
		c.Apply(recordObject("s", 4, "u1"))
		Expect(standings(board, "s")).To(HaveKeyWithValue("u1", "ejected"))
		c.Apply(platform.Object{Key: "ejections/s", Version: 5, Value: []byte("x")})
		Expect(standings(board, "s")).To(HaveKeyWithValue("u1", "normal"))
	})
})

// TestListsOfDaemonsArriveInOrder guards against a stale entry of a restarted daemon.
// With two concurrent changes, the list without the later change could be delivered
// last, and stayed in use until the list changed again.
func TestListsOfDaemonsArriveInOrder(t *testing.T) {
	c := catalog.New(blackboard.New("d1", "fes"), zerolog.Nop(), telemetry.NewMetrics())
	entry := func(host string, version uint64) platform.Object {
		o := memberObject(platform.Member{
			ID: host, Role: platform.RoleDaemon, Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", Domain: "fes", State: platform.Live, Version: version,
		})
		o.Key = platform.DaemonsPrefix + host
		return o
	}
	var mu sync.Mutex
	var lastList []string
	firstEntered, secondDone := make(chan struct{}), make(chan struct{})
	first := true
	c.OnDaemons(func(members []platform.Member) {
		mu.Lock()
		isFirst := first
		first = false
		mu.Unlock()
		if isFirst {
			close(firstEntered)
			// Give the other change time to overtake the first one.
			select {
			case <-secondDone:
			case <-time.After(100 * time.Millisecond):
			}
		}
		mu.Lock()
		defer mu.Unlock()
		lastList = lastList[:0]
		for _, m := range members {
			lastList = append(lastList, m.ID)
		}
	})
	var changes sync.WaitGroup
	changes.Go(func() { c.Apply(entry("h1", 1)) })
	<-firstEntered
	changes.Go(func() {
		c.Apply(entry("h2", 2))
		close(secondDone)
	})
	changes.Wait()
	slices.Sort(lastList)
	if !slices.Equal(lastList, []string{"h1", "h2"}) {
		t.Fatalf("the last list contains %v, want h1 and h2", lastList)
	}
}

// TestDaemonEntryWithoutItsFieldsIsIgnored guards against daemons that connect to, and callers that
// get, an address that an incomplete entry does not have, or another host's.
func TestDaemonEntryWithoutItsFieldsIsIgnored(t *testing.T) {
	complete := map[string]any{
		"id": "h1.2", "host": "h1", "role": "daemon", "address": "10.0.0.1:80", "peerAddress": "10.0.0.1:81", "domain": "fes", "state": "live",
	}
	odd := map[string]any{
		"id": "h2.2", "host": "h2", "address": "10.0.0.1", "peerAddress": "", "domain": "", "state": "lively", "cores": -1, "linkMbps": -1,
	}
	for field, value := range odd {
		c := catalog.New(blackboard.New("d1", "fes"), zerolog.Nop(), telemetry.NewMetrics())
		entry := func(version uint64) platform.Object {
			encoded, err := json.Marshal(complete)
			if err != nil {
				t.Fatal(err)
			}
			return platform.Object{Key: platform.DaemonsPrefix + "h1", Version: version, Value: encoded}
		}
		c.Apply(entry(1))
		previous, known := c.Daemon("h1")
		before := complete[field]
		complete[field] = value
		c.Apply(entry(2))
		complete[field] = before
		if got, _ := c.Daemon("h1"); !known || got != previous {
			t.Errorf("%s %v: entry %+v, want %+v", field, value, got, previous)
		}
	}
}
