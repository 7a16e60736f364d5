package daemon

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"shallotglade/pkg/dialect"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/telemetry"
)

// Guards against a daemon without a configuration that answers valid requests with 404.
func TestDaemonWithoutConfigurationAnswers503(t *testing.T) {
	for name, prepare := range map[string]func(*restartedFleet){
		"no configuration": func(*restartedFleet) {},
		"unreadable configuration": func(f *restartedFleet) {
			_, err := f.store.Create(t.Context(), configurationKey, []byte(`{"Routes":"none"}`))
			f.g.Expect(err).NotTo(HaveOccurred())
		},
		"platform unreachable": func(f *restartedFleet) { f.store.SetFaults(memstore.Faults{Down: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			telemetry.CaptureHTTP(zerolog.Nop())
			f := &restartedFleet{g: NewWithT(t), store: memstore.New(), sockets: map[string]net.PacketConn{}, log: gbytes.NewBuffer()}
			prepare(f)
			socket, err := net.ListenPacket("udp", "127.0.0.1:0")
			f.g.Expect(err).NotTo(HaveOccurred())
			f.sockets["fes-1"] = socket
			d := f.launch(t, "fes-1")
			request := func() int {
				return d.proxy.Serve(t.Context(), &proxy.Incoming{Method: http.MethodGet, Path: firstPath, Arrived: time.Now()}).Status
			}
			queryAddresses := func() int {
				_, err := d.resolveAddresses(dialect.AddressQuery{Host: "registre.example"})
				f.g.Expect(err).NotTo(BeNil())
				return err.Status
			}
			f.g.Consistently(request, time.Second, 20*time.Millisecond).Should(Equal(http.StatusServiceUnavailable), f.logged)
			f.g.Expect(queryAddresses()).To(Equal(http.StatusServiceUnavailable), f.logged)
		})
	}
}
