package main

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
)

func TestDetection(t *testing.T) { testkit.RunSpecs(t, "detection") }

var _ = Describe("The simulation", func() {
	// Guards against results that cannot be reproduced from the seed.
	It("gives the same result for the same seed", func() {
		s, f := services[0], faults[2]
		run := func(seed uint64) trial { return runTrial(s, f, newFleetDetector(s, homesPerService, seed), seed) }
		Expect(run(1)).To(Equal(run(1)))
		Expect(run(1)).NotTo(Equal(run(2)))
	})

	// Guards against a change that makes the detector miss harmful faults or
	// raise false alarms.
	It("detects each harmful fault and nothing else", func() {
		for _, f := range faults {
			t := runTrial(services[3], f, newFleetDetector(services[3], homesPerService, 3), 3)
			Expect(t.detected).To(Equal(!f.Harmless), f.Name)
			Expect(t.falseDemotions+t.falseEjections).To(BeZero(), f.Name)
		}
	})
})
