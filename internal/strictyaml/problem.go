package strictyaml

import (
	"fmt"
	"strings"
)

// Problem describes one error in a YAML file.
type Problem struct {
	// File is the name given to Decode.
	File string `json:"file,omitempty"`
	// Line is the line number from 1; 0 means unknown.
	Line int `json:"line,omitempty"`
	// Field is a path such as "limits.callerRate" or "routes[0].path".
	Field string `json:"field,omitempty"`
	// Found is the text in the file, Allowed describes the allowed values.
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// String returns "file:line: field: found X, allowed: Y".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:", p.File)
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:", p.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	fmt.Fprintf(&b, "found %s, allowed: %s", p.Found, p.Allowed)
	return b.String()
}

// Problems holds all problems of one file. Err returns it as an error.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil if there are no problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
