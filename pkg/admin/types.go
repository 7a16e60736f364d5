package admin

import (
	"time"

	"shallotglade/internal/strictyaml"
	"shallotglade/pkg/blackboard"
)

// Service is one service's document with its version.
type Service struct {
	Name     string    `json:"name" yaml:"name"`
	Team     string    `json:"team" yaml:"team"`
	Version  uint64    `json:"version" yaml:"version"`
	Author   string    `json:"author,omitempty" yaml:"author,omitempty"`
	At       time.Time `json:"at,omitzero" yaml:"at,omitempty"`
	Document string    `json:"document,omitempty" yaml:"document,omitempty"`
}

// DaemonStatus is what one daemon sees of a service, or why it did not say.
type DaemonStatus struct {
	Daemon string             `json:"daemon" yaml:"daemon"`
	Domain string             `json:"domain" yaml:"domain"`
	Error  string             `json:"error,omitempty" yaml:"error,omitempty"`
	Status *blackboard.Status `json:"status,omitempty" yaml:"status,omitempty"`
}

// Daemon is another daemon as one daemon sees it.
type Daemon struct {
	ID      string `json:"id" yaml:"id"`
	Domain  string `json:"domain" yaml:"domain"`
	Address string `json:"address" yaml:"address"`
	State   string `json:"state" yaml:"state"`
}

// Failure is the body of every answer that is no success.
type Failure struct {
	// Reason is a short fixed identifier such as "conflict".
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	// Problems are the problems of a document that was refused.
	Problems strictyaml.Problems `json:"problems,omitempty"`
	// Current is the document in the platform when a change conflicts with it,
	// Yours the refused one, Difference a unified diff from Current to Yours.
	Current    *Service `json:"current,omitempty"`
	Yours      string   `json:"yours,omitempty"`
	Difference string   `json:"difference,omitempty"`

	// Status is the HTTP status.
	Status int `json:"-"`
}

// Error implements error.
func (f *Failure) Error() string {
	text := f.Reason + ": " + f.Detail
	if len(f.Problems) > 0 {
		text += "\n" + f.Problems.Error()
	}
	if f.Difference != "" {
		text += "\n" + f.Difference
	}
	return text
}

// Reasons of a Failure.
const (
	ReasonUnauthorized = "unauthorized"
	ReasonForbidden    = "forbidden"
	ReasonNotFound     = "not-found"
	ReasonInvalid      = "invalid"
	ReasonConflict     = "conflict"
	ReasonNoVersion    = "version-required"
	ReasonRouteTaken   = "route-taken"
	ReasonPlatform     = "platform-away"
	ReasonUnknown      = "outcome-unknown"
)
