package document_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/document"
)

func TestDocument(t *testing.T) { testkit.RunSpecs(t, "document") }

var _ = Describe("Parse", func() {
	It("applies defaults to a document of one line", func() {
		s, problems := document.Parse("d.yaml", []byte("service: registre-steles\n"))
		Expect(problems).To(BeEmpty())
		Expect(s.Team).To(Equal("registre-steles"))
		Expect(s.Upstreams.Membership).To(Equal("registre-steles"))
		Expect(s.Timeouts.Attempt).To(Equal(time.Second))
		Expect(s.Requests.Key).To(Equal(document.KeyRequired))
		Expect(s.Idempotent("POST", "/orders")).To(BeFalse())
	})

	// Guards against reporting only the first problem, which would make operators
	// fix a document one error at a time.
	It("reports every problem with line, found value and allowed values", func() {
		_, problems := document.Parse("d.yaml", []byte(strings.Join([]string{
			"service: Registre",
			"floor:",
			"  share: 140%",
			"  cuont: 2",
			"timeouts:",
			"  request: soon",
			"limits:",
			"  queue: -1",
			"detection: {weight: 2}",
			"upstreams:",
			"  static:",
			"    - {address: 'worker-1:80', domain: fes}",
		}, "\n")))
		Expect(problems.Error()).To(And(
			ContainSubstring("d.yaml:1: service: found Registre, allowed:"),
			ContainSubstring("d.yaml:3: floor.share: found 140%, allowed: 0% to 100%"),
			ContainSubstring("d.yaml:4: floor.cuont: found an unknown field, allowed: count, share"),
			ContainSubstring("d.yaml:6: timeouts.request: found soon, allowed: a duration such as 500ms or 2s"),
			ContainSubstring("d.yaml:8: limits.queue: found -1"),
			ContainSubstring("d.yaml:9: detection.weight: found 2, allowed: 0 to 1"),
			ContainSubstring("d.yaml:12: upstreams.static[0].address"),
		))
	})

	// Guards against an account that loses a field, and against a key in a problem: operators
	// may write the key in place of its digest.
	It("reads accounts and does not quote what may be a key", func() {
		const digest = "00112233445566778899aabbccddeeff"
		s, problems := document.Parse("d.yaml", []byte("service: a\nroutes: [{path: /o, open: true}]\naccounts:\n- {name: b, keys: ["+digest+"], priority: 0, rate: 2.5, burst: 3}\n"))
		Expect(problems).To(BeEmpty())
		b, found := s.Directory().ByName("b")
		Expect(found).To(BeTrue())
		text, err := json.Marshal(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(MatchJSON(`{"name":"b","keys":["` + digest + `"],"priority":0,"rate":2.5,"burst":3}`))
		Expect(s.Rules()[0].Open).To(BeTrue())
		s, problems = document.Parse("d.yaml", []byte("service: a\naccounts: []\n"))
		Expect(problems).To(BeEmpty())
		Expect(s.Directory().Len()).To(BeZero())
		for _, bad := range []string{"[{name: b, keys: [sesame]}]", "[{name: b, keys: sesame}]", "[{name: b, rate: sesame}]", "[sesame]", "sesame", "[{name: b}, {name: b}]"} {
			_, problems := document.Parse("d.yaml", []byte("service: a\naccounts: "+bad+"\n"))
			Expect(problems).NotTo(BeEmpty(), bad)
			Expect(problems.Error()).To(And(ContainSubstring("d.yaml:2: accounts"), Not(ContainSubstring("sesame"))))
		}
	})

	DescribeTable("rejects", func(text string) {
		_, problems := document.Parse("d.yaml", []byte(text))
		Expect(problems).NotTo(BeEmpty())
	},
		Entry("an empty file", ""),
		Entry("two documents", "service: a\n---\nservice: b\n"),
		Entry("broken YAML", "service: [a\n"),
		Entry("a list", "- service\n"),
		Entry("a duplicate field", "service: a\nservice: b\n"),
		Entry("an alias, which could expand to an enormous document", "service: &a x\nteam: *a\n"),
		Entry("a document over the size limit", "service: a\n#"+strings.Repeat("x", document.MaxBytes)),
		Entry("a duplicate route", "service: a\nroutes: [{path: /x}, {path: /x}]\n"),
	)

	// Guards against an older daemon rejecting a document that a newer one accepted.
	It("loads an accepted document with unknown fields", func() {
		s, unknown, err := document.Load([]byte("service: a\nfuture: {x: 1}\nfloor: {share: 50%}\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(unknown).To(Equal([]string{"future"}))
		Expect(float64(s.Floor.Share)).To(Equal(0.5))
	})

	It("keeps the floor between the configured share and the number of upstreams", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			f := document.Floor{Count: rapid.IntRange(1, 20).Draw(t, "count")}
			total := rapid.IntRange(0, 50).Draw(t, "total")
			f.Share = 0.6
			n := f.MinUpstreams(total)
			if n > total || float64(n) < 0.6*float64(total) && n < total {
				t.Fatalf("floor %d of %d", n, total)
			}
		})
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte("service: a\nfloor: {share: 50%}\nroutes: [{path: /x}]\n"))
	f.Add([]byte("service: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems := document.Parse("f", data)
		if len(problems) == 0 && (s == nil || s.Service == "") {
			t.Fatal("accepted a document without a service")
		}
		if _, _, err := document.Load(data); err != nil && len(problems) == 0 {
			t.Fatalf("accepted by Parse, rejected by Load: %v", err)
		}
	})
}
