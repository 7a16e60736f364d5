// Package strictyaml decodes YAML files into structs. It reports all unknown fields
// and all values of the wrong type with their lines, instead of stopping at the first.
package strictyaml

import (
	"fmt"
	"math"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"shallotglade/pkg/panics"
)

// Source holds the line and the text of each field of a decoded file.
type Source struct {
	file  string
	lines map[string]int
	texts map[string]string
}

// Has reports whether the file contains the field.
func (s *Source) Has(field string) bool {
	_, ok := s.lines[field]
	return ok
}

// Problem returns a problem with the field. If the field is missing, the problem has
// the line of the nearest enclosing field.
func (s *Source) Problem(field, allowed string) Problem {
	found, ok := s.texts[field]
	if !ok {
		found = "nothing"
	}
	return Problem{File: s.file, Line: s.line(field), Field: field, Found: found, Allowed: allowed}
}

func (s *Source) line(field string) int {
	for field != "" {
		if n, ok := s.lines[field]; ok {
			return n
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			break
		}
		field = field[:i]
	}
	return 1
}

// Decode decodes data into the struct that into points to, by its yaml tags. Fields that
// the file omits keep their values. Anchors and aliases are rejected, because a small
// file could expand to an enormous one.
func Decode(file string, data []byte, into any) (source *Source, problems Problems) {
	err := panics.Run(panics.Documents, func() { source, problems = decode(file, data, into) })
	if err != nil {
		return &Source{file: file}, Problems{{File: file, Line: 1, Found: "text on which the YAML parser fails", Allowed: "valid YAML"}}
	}
	return source, problems
}

func decode(file string, data []byte, into any) (*Source, Problems) {
	d := &decoder{src: &Source{file: file, lines: map[string]int{}, texts: map[string]string{}}}
	// Duplicate fields are allowed here, because the decoder below reports them together
	// with other problems.
	tree, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return d.src, Problems{syntaxProblem(file, err)}
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return d.src, Problems{{File: file, Line: 1, Found: fmt.Sprintf("%d YAML documents", len(tree.Docs)), Allowed: "exactly one, not empty"}}
	}
	d.decodeValue("", tree.Docs[0].Body, reflect.ValueOf(into).Elem())
	return d.src, d.problems
}

func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Found: "a syntax error", Allowed: "valid YAML"}
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		p.Found = syntax.Message
		if syntax.Token != nil && syntax.Token.Position != nil {
			p.Line = syntax.Token.Position.Line
		}
	}
	return p
}

type decoder struct {
	src      *Source
	problems Problems
}

func (d *decoder) addProblem(field string, node ast.Node, allowed string) {
	d.problems = append(d.problems, Problem{
		File: d.src.file, Line: lineOf(node), Field: field, Found: textOf(node), Allowed: allowed,
	})
}

func (d *decoder) decodeValue(field string, node ast.Node, into reflect.Value) {
	if node == nil || node.Type() == ast.NullType {
		return
	}
	d.src.lines[field] = lineOf(node)
	d.src.texts[field] = textOf(node)
	switch {
	case node.Type() == ast.AliasType || node.Type() == ast.AnchorType || node.Type() == ast.MergeKeyType:
		d.addProblem(field, node, "a plain value; anchors and aliases are not supported")
	case into.Kind() == reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.decodeValue(field, node, into.Elem())
	case isLeaf(into):
		d.decodeLeaf(field, node, into)
	case into.Kind() == reflect.Struct:
		d.decodeMapping(field, node, into)
	case into.Kind() == reflect.Slice:
		d.decodeSequence(field, node, into)
	default:
		d.decodeLeaf(field, node, into)
	}
}

func (d *decoder) decodeMapping(field string, node ast.Node, into reflect.Value) {
	values, ok := mappingValues(node)
	if !ok {
		d.addProblem(field, node, "a mapping with "+strings.Join(fieldNames(into.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for _, mv := range values {
		name := strings.Trim(mv.Key.String(), `"'`)
		path := joinPath(field, name)
		index, known := fieldIndex(into.Type(), name)
		switch {
		case !known:
			d.problems = append(d.problems, Problem{
				File: d.src.file, Line: lineOf(mv.Key), Field: path, Found: "an unknown field",
				Allowed: strings.Join(fieldNames(into.Type()), ", "),
			})
		case seen[name]:
			d.addProblem(path, mv.Value, "the field once")
		default:
			d.decodeValue(path, mv.Value, into.Field(index))
		}
		seen[name] = true
	}
}

func (d *decoder) decodeSequence(field string, node ast.Node, into reflect.Value) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addProblem(field, node, "a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		d.decodeValue(fmt.Sprintf("%s[%d]", field, i), item, list.Index(i))
	}
	into.Set(list)
}

func (d *decoder) decodeLeaf(field string, node ast.Node, into reflect.Value) {
	if _, mapping := mappingValues(node); mapping || node.Type() == ast.SequenceType {
		d.addProblem(field, node, typeName(into))
		return
	}
	// The library truncates a fractional number when it decodes into an integer.
	isInteger := into.CanInt() && !isLeaf(into)
	if isInteger && node.Type() != ast.IntegerType {
		d.addProblem(field, node, typeName(into))
		return
	}
	err := yaml.NodeToValue(node, into.Addr().Interface())
	if err != nil || into.CanFloat() && !isFinite(into.Float()) {
		d.addProblem(field, node, typeName(into))
	}
}

func isFinite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }

// isLeaf reports whether v is decoded as a scalar regardless of its kind: a duration or
// a type with its own unmarshaler.
func isLeaf(v reflect.Value) bool {
	_, hasUnmarshaler := v.Addr().Interface().(yaml.BytesUnmarshaler)
	return hasUnmarshaler || v.Type() == reflect.TypeFor[time.Duration]()
}

func mappingValues(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func fieldIndex(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if tagName(t.Field(i)) == name {
			return i, true
		}
	}
	return 0, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if n := tagName(t.Field(i)); n != "" {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

func tagName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func typeName(v reflect.Value) string {
	switch v.Interface().(type) {
	case time.Duration:
		return "a duration such as 500ms or 2s"
	case Share:
		return "a share such as 10% or 0.1"
	}
	switch v.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "a text"
	default:
		return "a " + v.Kind().String()
	}
}

func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func lineOf(node ast.Node) int {
	if t := node.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

// maxFoundBytes limits how much of an invalid value a problem quotes.
const maxFoundBytes = 60

func textOf(node ast.Node) string {
	if _, mapping := mappingValues(node); mapping {
		return "a mapping"
	}
	if node.Type() == ast.SequenceType {
		return "a list"
	}
	s := strings.Join(strings.Fields(node.String()), " ")
	if len(s) > maxFoundBytes {
		s = s[:maxFoundBytes] + "..."
	}
	return s
}
