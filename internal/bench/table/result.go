// Package table defines the result rows that the benches print and write as JSON.
package table

import (
	"fmt"
	"strconv"
	"strings"
)

// Result is one row: a case and its named values.
type Result struct {
	Case   string             `json:"case"`
	Values map[string]float64 `json:"values"`
	names  []string
}

// Set adds a value. Print prints the values in the order of the Set calls.
func (r *Result) Set(name string, value float64) {
	if r.Values == nil {
		r.Values = map[string]float64{}
	}
	r.Values[name] = value
	r.names = append(r.names, name)
}

// Print writes the row to standard output.
func (r *Result) Print() {
	parts := make([]string, len(r.names))
	for i, name := range r.names {
		parts[i] = name + " " + strconv.FormatFloat(r.Values[name], 'f', -1, 64)
	}
	fmt.Printf("%-36s %s\n", r.Case, strings.Join(parts, ", "))
}
