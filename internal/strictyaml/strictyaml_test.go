package strictyaml_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/strictyaml"
	"shallotglade/internal/testkit"
)

func TestStrictYAML(t *testing.T) { testkit.RunSpecs(t, "strictyaml") }

type inner struct {
	Name string           `yaml:"name"`
	Wait time.Duration    `yaml:"wait"`
	Part strictyaml.Share `yaml:"part"`
}

type outer struct {
	Inner  inner    `yaml:"inner"`
	List   []inner  `yaml:"list"`
	Words  []string `yaml:"words"`
	Count  int      `yaml:"count"`
	Weight float64  `yaml:"weight"`
	On     bool     `yaml:"on"`
}

func decode(text string) (outer, *strictyaml.Source, []string) {
	v := outer{Count: 7, Words: []string{"default"}}
	src, problems := strictyaml.Decode("f.yaml", []byte(text), &v)
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return v, src, lines
}

var _ = Describe("Decode", func() {
	// Guards against values that are decoded wrongly, and against lost defaults of
	// fields that the file omits.
	It("decodes every kind of value and keeps defaults", func() {
		v, src, problems := decode("inner: {name: \"a: b\", wait: 1.5s, part: 25%}\nlist:\n- name: x\n  part: 0.5\n- {}\nweight: 0.25\non: true\ncount:\n")
		Expect(problems).To(BeEmpty())
		Expect(v).To(Equal(outer{
			Inner: inner{Name: "a: b", Wait: 1500 * time.Millisecond, Part: 0.25}, List: []inner{{Name: "x", Part: 0.5}, {}},
			Words: []string{"default"}, Count: 7, Weight: 0.25, On: true,
		}))
		Expect(src.Has("list[0].part")).To(BeTrue())
		Expect(src.Has("words")).To(BeFalse())
		Expect(src.Problem("list[1].name", "x").Line).To(Equal(5))
		Expect(src.Problem("inner.gone", "x")).To(And(HaveField("Line", 1), HaveField("Found", "nothing")))
	})

	// Guards against a decoder that stops at the first problem or reports the wrong
	// line or field.
	It("reports every problem with its line and field", func() {
		_, _, problems := decode("inner:\n  label: x\n  wait: soon\nlist: {}\nwords: [a, [b]]\ncount: many\ncount: 3\nweight: [1]\non: maybe\n")
		Expect(problems).To(Equal([]string{
			"f.yaml:2: inner.label: found an unknown field, allowed: name, part, wait",
			"f.yaml:3: inner.wait: found soon, allowed: a duration such as 500ms or 2s",
			"f.yaml:4: list: found a mapping, allowed: a list",
			"f.yaml:5: words[1]: found a list, allowed: a text",
			"f.yaml:6: count: found many, allowed: a whole number",
			"f.yaml:7: count: found 3, allowed: the field once",
			"f.yaml:8: weight: found a list, allowed: a number",
			"f.yaml:9: on: found maybe, allowed: true or false",
		}))
	})

	// Guards against input that is decoded partially, expands without limit or
	// crashes the process.
	DescribeTable("rejects", func(text, want string) {
		_, _, problems := decode(text)
		Expect(problems).To(ContainElement(ContainSubstring(want)))
	},
		Entry("an empty file", "", "exactly one, not empty"),
		Entry("a comment only", "# nothing\n", "exactly one, not empty"),
		Entry("two documents", "count: 1\n---\ncount: 2\n", "exactly one, not empty"),
		Entry("a list instead of a mapping", "- a\n", "allowed: a mapping with"),
		Entry("invalid syntax", "count: 1\nwords: [a\n", "valid YAML"),
		Entry("an anchor", "words: &a [x]\n", "anchors and aliases are not supported"),
		Entry("an alias", "inner: &a {name: x}\nlist: [*a]\n", "anchors and aliases are not supported"),
		Entry("a merge key", "inner: {<<: {name: x}}\n", "unknown field"),
		Entry("a fraction for a whole number", "count: 1.5\n", "a whole number"),
		Entry("a number that is too large", "count: 99999999999999999999\n", "a whole number"),
		Entry("a duration without a unit", "inner: {wait: 5}\n", "a duration such as"),
		Entry("a share that is not a number", "inner: {part: NaN}\n", "a share such as"),
		Entry("an infinite share", "inner: {part: 1e999}\n", "a share such as"),
		Entry("a weight that is not a number", "weight: .nan\n", "a number"))

	// Guards against a share that changes when it is encoded and decoded again.
	It("decodes an encoded share to the same value", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			tenths := rapid.IntRange(0, 1000).Draw(t, "tenths of a percent")
			want := strictyaml.Share(float64(tenths) / 1000)
			v, _, problems := decode("inner: {part: " + want.String() + "}")
			if len(problems) > 0 || fmt.Sprintf("%.6f", v.Inner.Part) != fmt.Sprintf("%.6f", want) {
				t.Fatalf("%v became %v, %v", want, v.Inner.Part, problems)
			}
		})
	})
})

// Guards against files that crash the process, and against problems without a location
// or without the allowed values.
func FuzzDecode(f *testing.F) {
	f.Add("inner: {name: x, wait: 2s, part: 10%}\nlist: [{name: y}]\n")
	f.Add("count: &a 1\nwords: [*a]\n? [x]\n: y\n")
	f.Add("\"count\": !!str 1\n")
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) > 4<<10 {
			return
		}
		_, _, problems := decode(text)
		for _, p := range problems {
			if !strings.HasPrefix(p, "f.yaml:") || !strings.Contains(p, "allowed: ") {
				t.Fatalf("%q", p)
			}
		}
	})
}
