// Package testkit runs the project's test suites with fixed seeds, so that results are
// reproducible. It also has helpers that several suites use.
package testkit

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Seed is the random seed of every suite and property test.
const Seed = 20261204

// RunSpecs runs the Ginkgo specs of a package with the fixed seed.
func RunSpecs(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = Seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// Check runs a rapid property with the fixed seed and writes no failure file.
// The -rapid.seed flag overrides the seed.
func Check(t rapid.TB, property func(*rapid.T)) {
	t.Helper()
	setDefault("rapid.seed", "20261204")
	setDefault("rapid.nofailfile", "true")
	rapid.Check(t, property)
}

// setDefault sets a flag unless the command line set it.
func setDefault(name, value string) {
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
	if isSet {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
