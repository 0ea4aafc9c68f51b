// Package jaydocument parses JSON with comments and reports each problem with its
// file, line and column.
package jaydocument

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one problem in a document.
type Problem struct {
	File   string
	Line   int
	Column int
	Text   string
}

// String returns the problem in the form file:line:column: text.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

// Problems holds the problems of a document. As an error, it has one line for each
// problem.
type Problems []Problem

// Error returns all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed document that knows the position of each of its values.
type Document struct {
	file     string
	text     []byte
	root     hujson.Value
	problems Problems
}

// Decode parses text and stores the result in target, a pointer to a struct. Syntax
// errors, unknown fields, repeated fields and wrong types are returned as an error
// of type Problems.
func Decode(file string, text []byte, target any) (*Document, error) {
	d := &Document{file: file, text: text}
	root, err := hujson.Parse(text)
	if err != nil {
		d.addSyntax(err)
		return nil, d.problems
	}
	d.root = root
	d.checkFields(root, reflect.TypeOf(target).Elem())
	if len(d.problems) > 0 {
		return nil, d.problems
	}
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		d.addSyntax(err)
		return nil, d.problems
	}
	if err := json.Unmarshal(plain, target); err != nil {
		d.addType(err)
		return nil, d.problems
	}
	return d, nil
}

// Add adds a problem with the value at a JSON pointer such as
// /pools/2/minAvailable. A problem with an absent value gets the position of the
// closest parent that exists.
func (d *Document) Add(pointer, format string, args ...any) {
	d.addAt(d.offsetOf(pointer), pointer+": "+fmt.Sprintf(format, args...))
}

// Err returns the problems that were added, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.problems
}

func (d *Document) offsetOf(pointer string) int {
	for pointer != "" {
		if v := d.root.Find(pointer); v != nil {
			return v.StartOffset
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return d.root.StartOffset
}

func (d *Document) addAt(offset int, text string) {
	before := d.text[:min(offset, len(d.text))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := offset - bytes.LastIndexByte(before, '\n')
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Column: column, Text: text})
}

// addSyntax adds a syntax error. It takes the position from the parser's message,
// which ends in "line L, column C: text".
func (d *Document) addSyntax(err error) {
	p := Problem{File: d.file, Line: 1, Column: 1, Text: err.Error()}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &p.Line, &p.Column); n == 2 {
		_, after, _ := strings.Cut(text, ": ")
		p.Text = after
	}
	d.problems = append(d.problems, p)
}

func (d *Document) addType(err error) {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		text := fmt.Sprintf("%s: want %s, got %s", mismatch.Field, mismatch.Type, mismatch.Value)
		d.addAt(max(0, int(mismatch.Offset)-1), text)
		return
	}
	d.addAt(0, err.Error())
}

// checkFields adds a problem for each field that is unknown to the target type or
// repeated. Otherwise a misspelled field would be ignored, and an operator would
// rely on a setting that is not in effect.
func (d *Document) checkFields(v hujson.Value, t reflect.Type) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch composite := v.Value.(type) {
	case *hujson.Object:
		d.checkObject(composite, t)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return
		}
		for _, element := range composite.Elements {
			d.checkFields(element, t.Elem())
		}
	}
}

func (d *Document) checkObject(object *hujson.Object, t reflect.Type) {
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		if seen[name] {
			d.addAt(member.Name.StartOffset, fmt.Sprintf("field %q stands twice", name))
		}
		seen[name] = true
		switch t.Kind() {
		case reflect.Map:
			d.checkFields(member.Value, t.Elem())
		case reflect.Struct:
			field, known := fieldNamed(t, name)
			if !known {
				d.addAt(member.Name.StartOffset, fmt.Sprintf("unknown field %q; known here: %s", name, fieldNames(t)))
				continue
			}
			d.checkFields(member.Value, field.Type)
		}
	}
}

func fieldNamed(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if jsonName(t.Field(i)) == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(t reflect.Type) string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, jsonName(t.Field(i)))
	}
	return strings.Join(names, ", ")
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
