// Package settings reads the start-up settings of a daemon.
//
// Settings are read once, from one YAML file, before any port is opened; they do
// not change while the daemon runs, apart from the peer keys, which are read
// again on SIGHUP. What changes at run time stands in the services' documents.
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/strictyaml"
)

// Settings are the start-up settings of one daemon.
type Settings struct {
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
}

// Platform is how the platform is reached.
type Platform struct {
	// Addresses are base URLs such as http://10.0.0.1:6000, tried in order.
	Addresses []string `yaml:"addresses"`
	// Key is sent as a bearer key. Default: none.
	Key string `yaml:"key"`
	// Timeout bounds one call. Default: 2s.
	Timeout time.Duration `yaml:"timeout"`
}

// Peers are the keys that daemons show each other, each a PEM file.
type Peers struct {
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
	// Domain is its failure domain.
	Domain string `yaml:"domain"`
}

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
}

// Log is what is logged, to standard error, one JSON object a line.
type Log struct {
	// Level is debug, info, warn or error. Default: info.
	Level string `yaml:"level"`
	// Decisions turns the line for each routing decision on. Default: true.
	Decisions bool `yaml:"decisions"`
}

func defaults() *Settings {
	return &Settings{
		Platform:  Platform{Timeout: 2 * time.Second},
		Callers:   Callers{MaxConnections: 10_000, MaxHeaderBytes: 32 << 10, MaxBodyBytes: 16 << 20, RequestArrival: 10 * time.Second, Idle: 60 * time.Second},
		Addresses: Addresses{Lifetime: 10 * time.Second},
		Drain:     Drain{Requests: 60 * time.Second},
		Log:       Log{Level: "info", Decisions: true},
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
