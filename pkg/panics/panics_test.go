package panics_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/panics"
)

func TestPanics(t *testing.T) { testkit.RunSpecs(t, "panics") }

var _ = Describe("Panics", func() {
	var logs bytes.Buffer
	var before uint64
	BeforeEach(func() {
		logs.Reset()
		panics.SetLogger(zerolog.New(&logs))
		before = panics.Total(panics.Peers)
	})
	fail := func() { panic("key-of-a-caller") }

	// Guards against a panic that ends the process, or is neither counted nor logged, and against a
	// log with the text of a message.
	DescribeTable("are recovered, counted and logged without the message", func(run func(f func()) error) {
		Expect(run(func() {})).To(Succeed())
		Expect(panics.Total(panics.Peers)).To(Equal(before))
		err := run(fail)
		Expect(err).To(MatchError(panics.ErrPanic))
		Expect(panics.Total(panics.Peers)).To(Equal(before + 1))
		Expect(logs.String()).To(And(ContainSubstring(`"source":"peers"`), ContainSubstring("panics_test.go")))
		Expect(logs.String() + err.Error()).NotTo(ContainSubstring("key-of"))
	},
		Entry("by Run", func(f func()) error { return panics.Run(panics.Peers, f) }),
		Entry("by Recover", func(f func()) (err error) {
			defer panics.Recover(panics.Peers, &err)
			f()
			return nil
		}),
		Entry("by Go", func(f func()) error {
			ended := make(chan error, 1)
			panics.Go(panics.Peers, func() { f(); ended <- nil }, func(err error) { ended <- err })
			return <-ended
		}),
	)

	It("of a pool are counted and logged", func() {
		pool, err := ants.NewPool(1, ants.WithPanicHandler(panics.Handler(panics.Peers)))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(pool.Release)
		Expect(pool.Submit(fail)).To(Succeed())
		Eventually(func() uint64 { return panics.Total(panics.Peers) }).Should(Equal(before + 1))
	})
})
