package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/settings"
)

func TestSettings(t *testing.T) { testkit.RunSpecs(t, "settings") }

var _ = Describe("Parse", func() {
	var pemFile string
	BeforeEach(func() {
		pemFile = filepath.Join(GinkgoT().TempDir(), "x.pem")
		Expect(os.WriteFile(pemFile, []byte("x"), 0o600)).To(Succeed())
	})
	settingsText := func(edit func(string) string) []byte {
		return []byte(edit(strings.ReplaceAll(`region: maroc-nord
domain: fes
listen: {callers: "127.0.0.1:8001", peers: "127.0.0.1:7001", admin: "127.0.0.1:9001"}
platform: {addresses: ["http://127.0.0.1:6000"]}
peers: {ca: PEM, certificate: PEM, key: PEM}
admin: {keys: [{team: atlas, key: 0123456789abcdef}]}
`, "PEM", pemFile)))
	}
	unchanged := func(s string) string { return s }

	It("applies defaults", func() {
		s, err := settings.Parse("s.yaml", settingsText(unchanged))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Addresses.Lifetime).To(Equal(10 * time.Second))
	})

	DescribeTable("reports problems with file, line, field, found value and allowed values",
		func(from, to, want string) {
			_, err := settings.Parse("s.yaml", settingsText(func(s string) string { return strings.Replace(s, from, to, 1) }))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("a host name instead of an IP number", "127.0.0.1:8001", "localhost:8001", "s.yaml:3: listen.callers: found \"localhost:8001\", allowed: an IP number and port"),
		Entry("an unknown field", "region:", "regoin:", "s.yaml:1: regoin: found an unknown field"),
		Entry("a key that is too short", "0123456789abcdef", "short", "s.yaml:6: admin.keys[0].key: found 5 bytes, allowed: at least 16 bytes"),
		Entry("no platform address", `["http://127.0.0.1:6000"]`, "[]", "s.yaml:4: platform.addresses"),
	)
})
