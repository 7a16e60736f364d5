// Package settings reads the settings of a daemon.
//
// Settings are read from one YAML file before any port is opened, and again on
// SIGHUP. Dynamic names those that then take effect, besides the peer keys; the
// others hold until the daemon starts again. What operators change about
// services stands in the services' documents.
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
	// Host is the name of the host. Default: none; required with peers.trust
	// "registered".
	Host string `yaml:"host"`
	// FirstStart says that the whole fleet starts for the first time, so that
	// nothing can be learned from others yet. Default: false.
	FirstStart bool `yaml:"firstStart"`
	// Region is the region of the host.
	Region string `yaml:"region"`
	// Domain is the failure domain of the host.
	Domain string `yaml:"domain"`
	// Listen are the addresses that the daemon binds.
	Listen Listen `yaml:"listen"`
	// Platform is where the object API and the membership list are.
	Platform Platform `yaml:"platform"`
	// Peers secures the messages between daemons.
	Peers Peers `yaml:"peers"`
	// Admin lists the keys of the administration API.
	Admin Admin `yaml:"admin"`
	// Callers bounds callers' connections and requests.
	Callers Callers `yaml:"callers"`
	// Addresses is how answers to "which address?" are made.
	Addresses Addresses `yaml:"addresses"`
	// Drain bounds the exit.
	Drain Drain `yaml:"drain"`
	// Repeats bounds the attempts that the whole fleet may repeat.
	Repeats Repeats `yaml:"repeats"`
	// Log is what is logged.
	Log Log `yaml:"log"`
}

// Listen are IP numbers and ports that the daemon binds.
type Listen struct {
	// Callers takes requests, by TCP.
	Callers string `yaml:"callers"`
	// Peers takes messages of other daemons, by UDP.
	Peers string `yaml:"peers"`
	// Admin takes the administration API, metrics and probes, by TCP.
	Admin string `yaml:"admin"`
	// Addresses takes callers' questions which addresses to use, by TCP.
	// Default: none; callers then ask at listen.callers.
	Addresses string `yaml:"addresses"`
	// Readiness answers whether this daemon takes callers, by TCP. Default:
	// none; listen.admin answers too.
	Readiness string `yaml:"readiness"`
}

// Platform is how the platform is reached.
type Platform struct {
	// Adapter names the adapter that speaks to the platform. Default: native,
	// the API of the stand-in.
	Adapter string `yaml:"adapter"`
	// Addresses are base URLs such as http://10.0.0.1:6000, tried in order.
	Addresses []string `yaml:"addresses"`
	// Key is sent as a bearer key. Default: none.
	Key string `yaml:"key"`
	// Timeout bounds one call. Default: 2s.
	Timeout time.Duration `yaml:"timeout"`
}

// Peers are the keys that daemons show each other, each a PEM file.
type Peers struct {
	// Trust says why a daemon trusts another: "authority", by certificates
	// that an authority signed, or "registered", by keys that each daemon makes
	// at its start and enters into the platform. With "registered" CA,
	// Certificate and Key stay empty. Default: authority.
	Trust string `yaml:"trust"`
	// CA holds one or more certificates of authorities; two of them while keys
	// are being changed.
	CA string `yaml:"ca"`
	// Certificate and Key are the daemon's own.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Seeds are daemons that ran when the settings were written. A daemon that
	// starts while the platform is away learns everything from them; some of
	// them in each failure domain are enough. Default: none.
	Seeds []Seed `yaml:"seeds"`
}

// Seed is another daemon.
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

// AdminKey lets its bearer act for one team.
type AdminKey struct {
	// Team is the team whose services the key reaches; "*" reaches all.
	Team string `yaml:"team"`
	// Key is the bearer key, at least 16 bytes.
	Key string `yaml:"key"`
}

// Callers bounds callers' connections and requests.
type Callers struct {
	// MaxConnections is the most open connections. Default: 10000.
	MaxConnections int `yaml:"maxConnections"`
	// MaxHeaderBytes is the largest request header. Default: 32768.
	MaxHeaderBytes int `yaml:"maxHeaderBytes"`
	// MaxBodyBytes is the largest request body of any service. Default: 16 MiB.
	MaxBodyBytes int `yaml:"maxBodyBytes"`
	// RequestArrival is how long a request may take to arrive. Default: 10s.
	RequestArrival time.Duration `yaml:"requestArrival"`
	// Idle is how long a connection may wait for its next request. Default: 60s.
	Idle time.Duration `yaml:"idle"`
}

// Addresses is how answers to "which address?" are made.
type Addresses struct {
	// Lifetime is how long callers may keep an answer. Default: 10s.
	Lifetime time.Duration `yaml:"lifetime"`
}

// Drain bounds the exit of a daemon.
type Drain struct {
	// Requests is how long the last requests may take after the answers that
	// name the daemon have run out. Default: 60s.
	Requests time.Duration `yaml:"requests"`
	// Grace is how long after SIGTERM the process is killed. The whole exit fits
	// into it. Default: 0, no limit.
	Grace time.Duration `yaml:"grace"`
}

// Repeats bounds the attempts beyond the first of each request, per service and
// over all daemons, in every span of Window: Ratio times the requests, plus
// Allowance.
type Repeats struct {
	// Ratio is a share of the requests. Default: 0, the documents' own budgets
	// hold at each daemon.
	Ratio float64 `yaml:"ratio"`
	// Window is the span. Default: 10s.
	Window time.Duration `yaml:"window"`
	// Allowance is a number of attempts per span. Default: 0.
	Allowance int `yaml:"allowance"`
}

// Log is what is logged, to standard output, one JSON object a line.
type Log struct {
	// Level is debug, info, warn or error. Default: info.
	Level string `yaml:"level"`
	// Decisions turns the line for each routing decision on. Default: true.
	Decisions bool `yaml:"decisions"`
	// LinesPerSecond bounds the lines; further ones are dropped and counted. A
	// quarter of it is kept for warnings and errors. Default: 1000, three lines
	// for each of the requests of a daemon at the load of docs/CAPACITY.md and as
	// much again.
	LinesPerSecond int `yaml:"linesPerSecond"`
}

// Dynamic are the settings that a running daemon takes over.
type Dynamic struct {
	Callers   Callers
	Addresses Addresses
	Level     string
	Decisions bool
}

// Dynamic returns the settings that a running daemon takes over.
func (s *Settings) Dynamic() *Dynamic {
	return &Dynamic{Callers: s.Callers, Addresses: s.Addresses, Level: s.Log.Level, Decisions: s.Log.Decisions}
}

// Pending returns the names of the groups of settings of a new file that take
// effect only when the daemon starts again.
func (s *Settings) Pending(next *Settings) []string {
	var out []string
	for name, pair := range map[string][2]any{
		"host": {s.Host, next.Host}, "region": {s.Region, next.Region}, "domain": {s.Domain, next.Domain},
		"listen": {s.Listen, next.Listen}, "platform": {s.Platform, next.Platform},
		"peers.trust": {s.Peers.Trust, next.Peers.Trust}, "peers.seeds": {s.Peers.Seeds, next.Peers.Seeds},
		"admin": {s.Admin, next.Admin}, "drain": {s.Drain, next.Drain}, "repeats": {s.Repeats, next.Repeats},
		"log.linesPerSecond": {s.Log.LinesPerSecond, next.Log.LinesPerSecond},
	} {
		if !reflect.DeepEqual(pair[0], pair[1]) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// AdapterNative is the adapter for the API of the stand-in.
const AdapterNative = "native"

func defaults() *Settings {
	return &Settings{
		Platform:  Platform{Adapter: AdapterNative, Timeout: 2 * time.Second},
		Peers:     Peers{Trust: TrustAuthority},
		Repeats:   Repeats{Window: 10 * time.Second},
		Callers:   Callers{MaxConnections: 10_000, MaxHeaderBytes: 32 << 10, MaxBodyBytes: 16 << 20, RequestArrival: 10 * time.Second, Idle: 60 * time.Second},
		Addresses: Addresses{Lifetime: 10 * time.Second},
		Drain:     Drain{Requests: 60 * time.Second},
		Log:       Log{Level: "info", Decisions: true, LinesPerSecond: 1000},
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

// Parse checks the text of a settings file; file is the name used in problems.
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
