package main

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
)

func TestReport(t *testing.T) { testkit.RunSpecs(t, "report") }

// Guards against results of a bench that are silently left out because they have
// an unexpected shape.
var _ = DescribeTable("rows of the shapes that benches write",
	func(text string, names, figures []string) {
		rows, err := parseRows([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(1))
		Expect(rows[0].names).To(Equal(names))
		Expect(rows[0].figures).To(Equal(figures))
	},
	Entry("case and values", `[{"case":"added","values":{"p99 ms":0.2,"p50 ms":1}}]`, []string{"added"}, []string{"p99 ms 0.2", "p50 ms 1"}),
	Entry("named list of objects", `{"latency":[{"case":"a","way":"b","slow":true,"fast":false,"p50Ms":3}]}`, []string{"latency", "a", "b", "slow"}, []string{"p50Ms 3"}),
	Entry("table", `[{"title":"T","header":["queue","late"],"rows":[["FIFO","7"]]}]`, []string{"T", "FIFO"}, []string{"late 7"}),
	Entry("nested object", `[{"layout":"l","took":{"p50":1}}]`, []string{"l"}, []string{"took p50 1"}),
)
