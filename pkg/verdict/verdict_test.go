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
	// Guards against reporting "not run" to a caller without proof.
	It("treats unknown input as may-have-run", func() {
		Expect(verdict.Parse("")).To(Equal(verdict.MayHaveRun))
		Expect(verdict.Of(errors.New("any"))).To(Equal(verdict.MayHaveRun))
		Expect((&verdict.Error{}).Verdict).To(Equal(verdict.MayHaveRun))
	})

	DescribeTable("is parsed from its name",
		func(v verdict.Verdict) { Expect(verdict.Parse(v.String())).To(Equal(v)) },
		Entry(nil, verdict.NotRun), Entry(nil, verdict.MayHaveRun), Entry(nil, verdict.Ran))

	It("is found in wrapped errors", func() {
		err := errors.Wrap(verdict.Refuse(503, "queue-full", "The queue is full."), "route")
		Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
	})

	It("combines the verdicts of two attempts", func() {
		Expect(verdict.Join(verdict.NotRun, verdict.NotRun)).To(Equal(verdict.NotRun))
		Expect(verdict.Join(verdict.NotRun, verdict.MayHaveRun)).To(Equal(verdict.MayHaveRun))
		Expect(verdict.Join(verdict.MayHaveRun, verdict.Ran)).To(Equal(verdict.Ran))
	})
})
