package panics

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Source is where the bytes came from.
type Source string

// Sources of bytes from outside.
const (
	// Requests are requests at the addresses for callers, address queries, readiness checks and
	// administration.
	Requests Source = "requests"
	// Upstreams are answers of upstreams.
	Upstreams Source = "upstreams"
	// Platform is the platform's store.
	Platform Source = "platform"
	// Peers are messages of other daemons.
	Peers Source = "peers"
	// Documents are YAML texts: documents of services, and settings.
	Documents Source = "documents"
)

// ErrPanic marks the errors of recovered panics.
var ErrPanic = errors.New("the handling of a message panicked")

var (
	totals = map[Source]*atomic.Uint64{Requests: {}, Upstreams: {}, Platform: {}, Peers: {}, Documents: {}}
	logger atomic.Pointer[zerolog.Logger]
)

// Total returns the number of panics of the process that were recovered.
func Total(source Source) uint64 { return totals[source].Load() }

// Collectors returns the counters of the process.
func Collectors() []prometheus.Collector {
	var list []prometheus.Collector
	for source, total := range totals {
		list = append(list, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "shallotglade_panics_recovered_total",
			Help: "Panics while bytes from outside were handled, by source. Each ended one connection or call.", ConstLabels: prometheus.Labels{"source": string(source)},
		}, func() float64 { return float64(total.Load()) }))
	}
	return list
}

// SetLogger sets the logger of the process. Without it, panics are logged to standard error.
func SetLogger(l zerolog.Logger) { logger.Store(&l) }

// Recover is deferred by the code that handles a message. It recovers from a panic and reports
// it in err.
func Recover(source Source, err *error) {
	if p := recover(); p != nil {
		*err = report(source, p)
	}
}

// Run calls f and returns the panic of f as an error.
func Run(source Source, f func()) (err error) {
	defer Recover(source, &err)
	f()
	return nil
}

// Go calls f in a goroutine. If f panics, onPanic releases what f held.
func Go(source Source, f func(), onPanic func(err error)) {
	go func() {
		if err := Run(source, f); err != nil {
			onPanic(err)
		}
	}()
}

// Handler returns a function that logs and counts panics, for a pool of goroutines that recovers
// from them itself.
func Handler(source Source) func(p any) {
	return func(p any) { _ = report(source, p) }
}

// report logs and counts a panic and returns it as an error.
func report(source Source, p any) error {
	totals[source].Add(1)
	l := logger.Load()
	if l == nil {
		fallback := zerolog.New(os.Stderr)
		l = &fallback
	}
	l.Error().Str("source", string(source)).Str("cause", cause(p)).Bytes("stack", debug.Stack()).
		Msg("panics: handling of a message panicked; its connection ends")
	return fmt.Errorf("%w: %s", ErrPanic, cause(p))
}

// cause describes a panic without the text of other panics than those of the runtime: the HTTP
// library quotes the message, which may contain keys.
func cause(p any) string {
	if err, ok := p.(runtime.Error); ok {
		return err.Error()
	}
	return fmt.Sprintf("value of type %T", p)
}
