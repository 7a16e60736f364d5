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

// DaemonStatus is the status of a service as one daemon sees it, or the error of
// the query.
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

// Failure is the body of every error response.
type Failure struct {
	// Reason is a short fixed identifier such as "conflict".
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	// Problems are the problems of a rejected document.
	Problems strictyaml.Problems `json:"problems,omitempty"`
	// Current, Submitted and Difference are set for a conflict: the document in the
	// platform, the rejected document, and a unified diff from Current to Submitted.
	Current    *Service `json:"current,omitempty"`
	Submitted  string   `json:"yours,omitempty"`
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

// Values of Failure.Reason.
const (
	ReasonUnauthorized        = "unauthorized"
	ReasonForbidden           = "forbidden"
	ReasonNotFound            = "not-found"
	ReasonInvalid             = "invalid"
	ReasonConflict            = "conflict"
	ReasonVersionRequired     = "version-required"
	ReasonRouteTaken          = "route-taken"
	ReasonPlatformUnavailable = "platform-away"
	ReasonUnknownOutcome      = "outcome-unknown"
)
