// Package settings reads the settings of a daemon.
//
// Settings are read from one YAML file before any port is opened, and again on
// SIGHUP. A reload applies the settings in Reloadable and the peer keys; changes of
// other settings need a restart of the daemon. Per-service configuration is in
// the documents of the services.
package settings

import (
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/strictyaml"
)

// Settings are the start-up settings of one daemon.
type Settings struct {
	// Host is the name of the host. Default: none; required if peers.trust is
	// "registered".
	Host string `yaml:"host"`
	// FirstStart is true if the whole fleet starts for the first time, so no other
	// daemon has state to share yet. Default: false.
	FirstStart bool `yaml:"firstStart"`
	// Region is the region of the host.
	Region string `yaml:"region"`
	// Domain is the failure domain of the host.
	Domain string `yaml:"domain"`
	// Capacity states the resources of the host, by which work is placed.
	Capacity Capacity `yaml:"capacity"`
	// Listen are the addresses that the daemon binds.
	Listen Listen `yaml:"listen"`
	// Platform configures access to the object API and the membership list.
	Platform Platform `yaml:"platform"`
	// Peers configures authentication between daemons and the seed daemons.
	Peers Peers `yaml:"peers"`
	// Admin lists the keys of the administration API.
	Admin Admin `yaml:"admin"`
	// Callers limits callers' connections and requests.
	Callers Callers `yaml:"callers"`
	// Addresses configures the answers to callers that ask which addresses to use.
	Addresses Addresses `yaml:"addresses"`
	// Drain limits the duration of the shutdown.
	Drain Drain `yaml:"drain"`
	// RetryBudget limits retries per service over the whole fleet.
	RetryBudget RetryBudget `yaml:"repeats"`
	// Accounts configures the checks of client accounts. It has no effect while no
	// configuration lists accounts.
	Accounts Accounts `yaml:"accounts"`
	// Log configures the log output.
	Log Log `yaml:"log"`
}

// Capacity states the resources of the host. Daemons place the homes of services on
// hosts with capacity for the requests.
type Capacity struct {
	// Cores is the share of processor cores that the daemon may use. Default: 0,
	// unknown.
	Cores float64 `yaml:"cores"`
	// LinkMbps is the bandwidth of the host's network link in Mbit/s. Default: 0,
	// unknown.
	LinkMbps float64 `yaml:"linkMbps"`
	// MemoryMB is the memory that the daemon may use, in units of 1,000,000 bytes.
	// Default: 0, unknown.
	MemoryMB float64 `yaml:"memoryMB"`
}

// Listen holds the addresses (IP:port) that the daemon binds.
type Listen struct {
	// Callers serves callers' requests over TCP.
	Callers string `yaml:"callers"`
	// Peers receives messages from other daemons over UDP.
	Peers string `yaml:"peers"`
	// Admin serves the administration API, metrics and probes over TCP.
	Admin string `yaml:"admin"`
	// Addresses tells callers which addresses to use, over TCP. Default: none;
	// callers then ask at listen.callers.
	Addresses string `yaml:"addresses"`
	// Readiness serves the readiness probe over TCP. Default: none; listen.admin
	// serves the probe in any case.
	Readiness string `yaml:"readiness"`
}

// Platform configures access to the platform.
type Platform struct {
	// Adapter is the name of the platform adapter. Default: native, the API of
	// the stand-in.
	Adapter string `yaml:"adapter"`
	// Addresses are base URLs such as http://10.0.0.1:6000, tried in order.
	Addresses []string `yaml:"addresses"`
	// Key is sent as a bearer key. Default: none.
	Key string `yaml:"key"`
	// Timeout limits the duration of one call. Default: 2s.
	Timeout time.Duration `yaml:"timeout"`
	// ReadsPerSecond is the platform's limit on the read calls of all daemons
	// together. Default: 0, unknown.
	ReadsPerSecond int `yaml:"readsPerSecond"`
}

// Peers configures how daemons authenticate and find each other. CA, Certificate
// and Key are names of PEM files.
type Peers struct {
	// Trust is the source of trust between daemons: "authority" for certificates
	// signed by an authority, or "registered" for keys that each daemon generates
	// at startup and registers in the platform. With "registered", CA,
	// Certificate and Key must be empty. Default: authority.
	Trust string `yaml:"trust"`
	// CA holds the certificates of the trusted authorities, more than one during
	// a key rotation.
	CA string `yaml:"ca"`
	// Certificate and Key identify this daemon.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Seeds are daemons that ran when the settings were written. A daemon that
	// starts while the platform is unavailable gets its state from them; a few per
	// failure domain are enough. Default: none.
	Seeds []Seed `yaml:"seeds"`
}

// Seed is a daemon to contact at startup.
type Seed struct {
	// Address is its listen.peers address.
	Address string `yaml:"address"`
	// Domain is its failure domain. Default: unknown.
	Domain string `yaml:"domain"`
}

// Values of Peers.Trust.
const (
	TrustAuthority  = "authority"
	TrustRegistered = "registered"
)

// Admin lists the keys of the administration API.
type Admin struct {
	Keys []AdminKey `yaml:"keys"`
}

// AdminKey is an administration key with its team.
type AdminKey struct {
	// Team is the team whose services the key may access; "*" means all services.
	Team string `yaml:"team"`
	// Key is the bearer key, at least 16 bytes.
	Key string `yaml:"key"`
}

// Callers limits callers' connections and requests.
type Callers struct {
	// MaxConnections is the maximum number of open connections. Default: 10000.
	MaxConnections int `yaml:"maxConnections"`
	// MaxHeaderBytes is the maximum size of a request header. Default: 32768.
	MaxHeaderBytes int `yaml:"maxHeaderBytes"`
	// MaxBodyBytes is the maximum size of a request body, for all services.
	// Default: 16 MiB.
	MaxBodyBytes int `yaml:"maxBodyBytes"`
	// RequestArrival is the maximum time to receive a request. Default: 10s.
	RequestArrival time.Duration `yaml:"requestArrival"`
	// Idle is the maximum time that a connection waits for its next request.
	// Default: 60s.
	Idle time.Duration `yaml:"idle"`
}

// Addresses configures the answers to callers that ask which addresses to use.
type Addresses struct {
	// Lifetime is the time for which callers may cache an answer. Default: 10s.
	Lifetime time.Duration `yaml:"lifetime"`
}

// Drain limits the duration of a daemon's shutdown.
type Drain struct {
	// Requests is the maximum time for the remaining requests, after all answers
	// that contain the daemon's address have expired. Default: 60s.
	Requests time.Duration `yaml:"requests"`
	// Grace is the time between SIGTERM and the kill of the process. The whole
	// shutdown is kept within it. Default: 0, no limit.
	Grace time.Duration `yaml:"grace"`
}

// RetryBudget limits retries per service over all daemons: in every time window of
// length Window, at most Ratio times the number of requests, plus Allowance.
type RetryBudget struct {
	// Ratio is a share of the requests. Default: 0, each daemon applies the retry
	// budgets of the documents.
	Ratio float64 `yaml:"ratio"`
	// Window is the length of the time window. Default: 10s.
	Window time.Duration `yaml:"window"`
	// Allowance is a number of attempts per window. Default: 0.
	Allowance int `yaml:"allowance"`
}

// Accounts configures the checks of client accounts.
type Accounts struct {
	// FailClosed refuses requests with keys while the daemon's knowledge of the accounts
	// may be older than Revocation. Default: false.
	FailClosed bool `yaml:"failClosed"`
	// Revocation is the time after which a key that the platform has acknowledged as
	// removed must not be accepted anywhere. Default: 5s.
	Revocation time.Duration `yaml:"revocation"`
	// Quota states how exactly the allowances of accounts are kept.
	Quota Quota `yaml:"quota"`
}

// Quota states how exactly the allowances of accounts are kept: in every window, over all
// daemons together, an account may exceed its allowance by the share Overshoot and by
// Extra requests.
type Quota struct {
	// Window is the length of the time window. Default: 5s.
	Window time.Duration `yaml:"window"`
	// Overshoot is a share of the allowance. Default: 0.1.
	Overshoot float64 `yaml:"overshoot"`
	// Extra is a number of requests per window. Default: 20.
	Extra float64 `yaml:"extra"`
}

// Log configures the log, which is written to standard output with one JSON object
// per line.
type Log struct {
	// Level is debug, info, warn or error. Default: info.
	Level string `yaml:"level"`
	// Decisions enables the line for each routing decision. Default: true.
	Decisions bool `yaml:"decisions"`
	// LinesPerSecond limits the rate of lines; lines beyond it are dropped and
	// counted. A quarter of the rate is reserved for warnings and errors. Default:
	// 1000, twice the rate of three lines per request at the load of one daemon in
	// docs/CAPACITY.md.
	LinesPerSecond int `yaml:"linesPerSecond"`
}

// Reloadable holds the settings that a reload applies to a running daemon.
type Reloadable struct {
	Callers   Callers
	Addresses Addresses
	Level     string
	Decisions bool
}

// Reloadable returns the settings that a reload applies to a running daemon.
func (s *Settings) Reloadable() *Reloadable {
	return &Reloadable{Callers: s.Callers, Addresses: s.Addresses, Level: s.Log.Level, Decisions: s.Log.Decisions}
}

// RestartRequired returns the sorted names of the groups of settings that differ in
// next and take effect only after a restart.
func (s *Settings) RestartRequired(next *Settings) []string {
	var groups []string
	for group, values := range map[string][2]any{
		"host": {s.Host, next.Host}, "region": {s.Region, next.Region}, "domain": {s.Domain, next.Domain},
		"capacity": {s.Capacity, next.Capacity},
		"listen":   {s.Listen, next.Listen}, "platform": {s.Platform, next.Platform},
		"peers.trust": {s.Peers.Trust, next.Peers.Trust}, "peers.seeds": {s.Peers.Seeds, next.Peers.Seeds},
		"admin": {s.Admin, next.Admin}, "drain": {s.Drain, next.Drain}, "repeats": {s.RetryBudget, next.RetryBudget},
		"accounts":           {s.Accounts, next.Accounts},
		"log.linesPerSecond": {s.Log.LinesPerSecond, next.Log.LinesPerSecond},
	} {
		if !reflect.DeepEqual(values[0], values[1]) {
			groups = append(groups, group)
		}
	}
	slices.Sort(groups)
	return groups
}

// AdapterNative is the name of the adapter for the API of the stand-in.
const AdapterNative = "native"

func defaults() *Settings {
	return &Settings{
		Platform:    Platform{Adapter: AdapterNative, Timeout: 2 * time.Second},
		Peers:       Peers{Trust: TrustAuthority},
		RetryBudget: RetryBudget{Window: 10 * time.Second},
		Callers:     Callers{MaxConnections: 10_000, MaxHeaderBytes: 32 << 10, MaxBodyBytes: 16 << 20, RequestArrival: 10 * time.Second, Idle: 60 * time.Second},
		Addresses:   Addresses{Lifetime: 10 * time.Second},
		Drain:       Drain{Requests: 60 * time.Second},
		Accounts:    Accounts{Revocation: 5 * time.Second, Quota: Quota{Window: 5 * time.Second, Overshoot: 0.1, Extra: 20}},
		Log:         Log{Level: "info", Decisions: true, LinesPerSecond: 1000},
	}
}

// Read reads and checks a settings file. Problems in the file are returned as
// strictyaml.Problems, all at once.
func Read(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse parses and checks the text of a settings file. file is the file name that
// the problems refer to.
func Parse(file string, data []byte) (*Settings, error) {
	s := defaults()
	src, problems := strictyaml.Decode(file, data, s)
	c := &checker{src: src, problems: problems}
	c.check(s)
	if err := c.problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
