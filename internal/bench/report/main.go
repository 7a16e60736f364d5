// Command report merges the JSON results of the benches into one Markdown table
// with a row per case: the bench, the names of the case, and its figures.
//
//	go run ./internal/bench/report bench-results/*.json
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		os.Exit(1)
	}
}

func run(files []string) error {
	fmt.Println("| bench | case | figures |\n|---|---|---|")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		rows, err := parseRows(data)
		if err != nil {
			return errors.Wrap(err, file)
		}
		bench := strings.TrimSuffix(filepath.Base(file), ".json")
		for _, r := range rows {
			fmt.Printf("| %s | %s | %s |\n", bench, strings.Join(r.names, ", "), strings.Join(r.figures, ", "))
		}
	}
	return nil
}

// row is one row of the table: the names of a case and its figures.
type row struct{ names, figures []string }

// parseRows extracts the cases from the JSON results of any bench. An object is
// a case if it holds numbers. The case is named by the strings and set flags of
// the object and of the objects that enclose it.
func parseRows(data []byte) ([]row, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	v, err := readValue(d)
	if err != nil {
		return nil, err
	}
	var out []row
	collectRows(v, nil, &out)
	return out, nil
}

// field is one member of an object. Objects are lists of fields, in the order of
// the file.
type field struct {
	name  string
	value any
}

// readValue returns a []field, []any, string, json.Number, bool or nil.
func readValue(d *json.Decoder) (any, error) {
	token, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('['):
		list := []any{}
		for d.More() {
			v, err := readValue(d)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err := d.Token()
		return list, err
	case json.Delim('{'):
		object := []field{}
		for d.More() {
			name, err := d.Token()
			if err != nil {
				return nil, err
			}
			v, err := readValue(d)
			if err != nil {
				return nil, err
			}
			object = append(object, field{fmt.Sprint(name), v})
		}
		_, err := d.Token()
		return object, err
	}
	return token, nil
}

func collectRows(v any, names []string, out *[]row) {
	switch v := v.(type) {
	case []any:
		for _, item := range v {
			collectRows(item, names, out)
		}
	case []field:
		if header, rows, ok := asTable(v); ok {
			names = append(names[:len(names):len(names)], nameParts(v)...)
			collectTable(header, rows, names, out)
			return
		}
		collectObject(v, names, out)
	}
}

func collectObject(object []field, names []string, out *[]row) {
	r := row{names: append(names[:len(names):len(names)], nameParts(object)...)}
	r.figures = figures("", object)
	if len(r.figures) > 0 {
		*out = append(*out, r)
	}
	for _, f := range object {
		if list, ok := f.value.([]any); ok {
			collectRows(list, append(r.names[:len(r.names):len(r.names)], f.name), out)
		}
	}
}

// nameParts returns the strings of an object and the names of its true flags.
func nameParts(object []field) []string {
	var out []string
	for _, f := range object {
		switch v := f.value.(type) {
		case string:
			out = append(out, v)
		case bool:
			if v {
				out = append(out, f.name)
			}
		}
	}
	return out
}

// figures returns the numbers of an object and of its nested objects, each with
// its name.
func figures(prefix string, object []field) []string {
	var out []string
	for _, f := range object {
		switch v := f.value.(type) {
		case json.Number:
			out = append(out, prefix+f.name+" "+v.String())
		case []field:
			innerPrefix := prefix + f.name + " "
			if f.name == "values" {
				innerPrefix = prefix
			}
			out = append(out, figures(innerPrefix, v)...)
		}
	}
	return out
}

// asTable recognizes an object with a list of column names and a list of rows.
func asTable(object []field) (header []string, rows [][]string, ok bool) {
	for _, f := range object {
		list, isList := f.value.([]any)
		if !isList || len(list) == 0 {
			continue
		}
		if _, nested := list[0].([]any); !nested {
			header = append(header, cells(list)...)
			continue
		}
		for _, item := range list {
			if line, isLine := item.([]any); isLine {
				rows = append(rows, cells(line))
			}
		}
	}
	return header, rows, len(header) > 0 && len(rows) > 0
}

func cells(list []any) []string {
	var out []string
	for _, item := range list {
		if _, isObject := item.([]field); isObject {
			return nil
		}
		out = append(out, fmt.Sprint(item))
	}
	return out
}

// collectTable appends a row for each line of a table. Cells that don't start
// like a number are names of the case.
func collectTable(header []string, rows [][]string, names []string, out *[]row) {
	for _, line := range rows {
		r := row{names: slices.Clone(names)}
		for i, cell := range line[:min(len(line), len(header))] {
			if cell != "" && strings.ContainsRune("0123456789-", rune(cell[0])) {
				r.figures = append(r.figures, header[i]+" "+cell)
			} else {
				r.names = append(r.names, cell)
			}
		}
		*out = append(*out, r)
	}
}
