// Package table holds the rows that the benches print and write as JSON.
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
	order  []string
}

// Set adds a value; Print keeps the order of the calls.
func (r *Result) Set(name string, value float64) {
	if r.Values == nil {
		r.Values = map[string]float64{}
	}
	r.Values[name] = value
	r.order = append(r.order, name)
}

// Print writes the row to standard output.
func (r *Result) Print() {
	parts := make([]string, len(r.order))
	for i, name := range r.order {
		parts[i] = name + " " + strconv.FormatFloat(r.Values[name], 'f', -1, 64)
	}
	fmt.Printf("%-36s %s\n", r.Case, strings.Join(parts, ", "))
}
