package verdict_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/verdict"
)

func TestVerdict(t *testing.T) { testkit.RunSpecs(t, "verdict") }

var _ = Describe("Verdict", func() {
	// Guards against a caller being told "not run" without proof.
	It("takes anything unknown for may-have-run", func() {
		Expect(verdict.Parse("")).To(Equal(verdict.MayHaveRun))
		Expect(verdict.Of(errors.New("any"))).To(Equal(verdict.MayHaveRun))
		Expect((&verdict.Error{}).Verdict).To(Equal(verdict.MayHaveRun))
	})

	DescribeTable("survives the header form",
		func(v verdict.Verdict) { Expect(verdict.Parse(v.String())).To(Equal(v)) },
		Entry(nil, verdict.NotRun), Entry(nil, verdict.MayHaveRun), Entry(nil, verdict.Ran))

	It("is found behind wrapping errors", func() {
		err := errors.Wrap(verdict.Refuse(503, "queue-full", "The queue is full."), "route")
		Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
	})

	It("joins attempts to what may be said of the whole request", func() {
		Expect(verdict.Join(verdict.NotRun, verdict.NotRun)).To(Equal(verdict.NotRun))
		Expect(verdict.Join(verdict.NotRun, verdict.MayHaveRun)).To(Equal(verdict.MayHaveRun))
		Expect(verdict.Join(verdict.MayHaveRun, verdict.Ran)).To(Equal(verdict.Ran))
	})
})
