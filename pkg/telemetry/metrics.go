package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"shallotglade/pkg/panics"
)

// Metrics holds the metrics of one daemon.
type Metrics struct {
	Registry *prometheus.Registry
	// Requests counts answered requests by service, verdict and status class.
	Requests *prometheus.CounterVec
	// RequestSeconds is the time from a request's arrival to its answer.
	RequestSeconds *prometheus.HistogramVec
	// OverheadSeconds is the part of that time not spent at upstreams or waiting for
	// a slot.
	OverheadSeconds *prometheus.HistogramVec
	// Attempts counts attempts at upstreams by service and kind of outcome.
	Attempts *prometheus.CounterVec
	// Hedges counts attempts started in parallel to a slow first one, by service.
	Hedges *prometheus.CounterVec
	// Refusals counts refused requests by service and reason.
	Refusals *prometheus.CounterVec
	// Forwards counts requests forwarded to a home by result.
	Forwards *prometheus.CounterVec
	// InFlight is the number of requests being handled.
	InFlight prometheus.Gauge
	// Standings counts upstreams by service and standing.
	Standings *prometheus.GaugeVec
	// UnusedUpstreams is the number of a service's upstreams that no home has used for
	// two seconds, UnservedShare the share of its recent requests that were not served,
	// both as this home knows them.
	UnusedUpstreams, UnservedShare *prometheus.GaugeVec
	// StandingChanges counts changes of upstreams' standing by service and change.
	StandingChanges *prometheus.CounterVec
	// DocumentVersion is the platform version of the active document by service.
	DocumentVersion *prometheus.GaugeVec
	// ConfigurationVersion is the operators' version number of the active
	// configuration.
	ConfigurationVersion prometheus.Gauge
	// Accounts is the number of client accounts in force.
	Accounts prometheus.Gauge
	// ConfigurationsRefused counts configurations that could not be applied.
	ConfigurationsRefused prometheus.Counter
	// PlatformUp is 1 if the platform answered the last call of this daemon.
	PlatformUp prometheus.Gauge
	// Peers counts other daemons by state.
	Peers *prometheus.GaugeVec
	// PeersRefused counts handshakes with daemons whose key is not registered.
	PeersRefused prometheus.Counter
}

// NewMetrics creates the metrics and registers them in a new registry.
func NewMetrics() *Metrics {
	m := &Metrics{Registry: prometheus.NewRegistry()}
	seconds := []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}
	m.Requests = counter("requests_total", "Answered requests.", "service", "verdict", "code")
	m.RequestSeconds = histogram("request_duration_seconds", "Time from a request's arrival to its answer.", seconds, "service")
	m.OverheadSeconds = histogram("added_duration_seconds", "Time of a request not spent at upstreams or waiting for a slot.", seconds, "service")
	m.Attempts = counter("upstream_attempts_total", "Attempts at upstreams.", "service", "kind")
	m.Hedges = counter("hedges_total", "Second attempts beside a slow first one.", "service")
	m.Refusals = counter("refusals_total", "Refused requests.", "service", "reason")
	m.Forwards = counter("forwards_total", "Requests passed to a home.", "result")
	m.InFlight = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: "requests_in_flight", Help: "Requests being handled."})
	m.Standings = gauge("upstreams", "Upstreams by standing.", "service", "standing")
	m.UnusedUpstreams = gauge("upstreams_unused", "Upstreams that no home has used for two seconds.", "service")
	m.UnservedShare = gauge("unserved_share", "Share of the requests of the last two seconds that were not served.", "service")
	m.StandingChanges = counter("standing_changes_total", "Changes of upstreams' standing.", "service", "change")
	m.DocumentVersion = gauge("document_version", "Platform version of the document in force.", "service")
	m.ConfigurationVersion = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: "configuration_version", Help: "Operators' number of the configuration in force."})
	m.ConfigurationsRefused = prometheus.NewCounter(prometheus.CounterOpts{Namespace: Namespace, Name: "configurations_refused_total", Help: "Configurations that could not be put in force."})
	m.Accounts = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: "accounts", Help: "Client accounts in force."})
	m.PlatformUp = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: "platform_up", Help: "Whether the platform answered the last call of this daemon."})
	m.Peers = gauge("peers", "Other daemons by state.", "state")
	m.PeersRefused = prometheus.NewCounter(prometheus.CounterOpts{Namespace: Namespace, Name: "peers_refused_total", Help: "Handshakes with daemons whose key is not registered here."})
	m.Registry.MustRegister(m.Requests, m.RequestSeconds, m.OverheadSeconds, m.Attempts, m.Hedges, m.Refusals, m.Forwards, m.InFlight,
		m.Standings, m.UnusedUpstreams, m.UnservedShare, m.StandingChanges, m.DocumentVersion, m.ConfigurationVersion, m.Accounts, m.ConfigurationsRefused, m.PlatformUp, m.Peers, m.PeersRefused,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.Registry.MustRegister(panics.Collectors()...)
	return m
}

// Namespace is the prefix of the names of all metrics.
const Namespace = "shallotglade"

// RegisterCounter registers a counter that reads its value from a function.
func (m *Metrics) RegisterCounter(name, help string, value func() uint64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help},
		func() float64 { return float64(value()) }))
}

// RegisterGauge registers a gauge that reads its value from a function.
func (m *Metrics) RegisterGauge(name, help string, value func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, value))
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets}, labels)
}
