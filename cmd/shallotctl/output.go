package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// print writes value in the selected output format. table returns the rows of the
// table format; the first row holds the headings.
func (o *options) print(w io.Writer, value any, table func() [][]string) error {
	switch o.output {
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(value)
	case "yaml":
		return yaml.NewEncoder(w).Encode(value)
	case "table":
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		for _, row := range table() {
			fmt.Fprintln(t, strings.Join(row, "\t"))
		}
		return t.Flush()
	default:
		return errors.Newf("--output: found %q, allowed: table, yaml, json", o.output)
	}
}
