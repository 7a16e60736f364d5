package main

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
)

func TestDetection(t *testing.T) { testkit.RunSpecs(t, "detection") }

var _ = Describe("The measurement", func() {
	// Guards against figures that a reader cannot reproduce.
	It("gives the same result for the same seed", func() {
		s, f := services[0], faults[2]
		run := func(seed uint64) trial { return runTrial(s, f, newOurs(s, homesPerService, seed), seed) }
		Expect(run(1)).To(Equal(run(1)))
		Expect(run(1)).NotTo(Equal(run(2)))
	})

	// Guards against a detector that a change makes blind or trigger-happy.
	It("detects each harmful fault and nothing else", func() {
		for _, f := range faults {
			t := runTrial(services[3], f, newOurs(services[3], homesPerService, 3), 3)
			Expect(t.detected).To(Equal(!f.Harmless), f.Name)
			Expect(t.falseDemotions+t.falseEjections).To(BeZero(), f.Name)
		}
	})
})
