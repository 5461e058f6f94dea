// Package yamlfile reads YAML files strictly: unknown keys are errors, and each error names its file, line, column and key.
package yamlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is an error in a file, with its position.
type Problem struct {
	File         string
	Line, Column int
	Text         string // starts with the key
}

// Error returns the file, the position if it is known, and the text.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

// OneLine returns the text of an error, also of several joined ones, on one line for logs and supervisors.
func OneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// Load reads the file at path and parses it with read.
func Load[T any](path string, read func(name string, text []byte) (T, error)) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, err
	}
	return read(path, text)
}

// File is a parsed file.
type File struct {
	name string
	body ast.Node
}

// Read decodes the text of a file that holds one document into a struct; unknown keys are errors. The returned File finds the
// positions of keys for errors that later checks find.
func Read(name string, text []byte, into any) (*File, error) {
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, newProblem(name, err)
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return nil, &Problem{File: name, Text: "the file is empty"}
	}
	if len(tree.Docs) > 1 {
		t := tree.Docs[1].Start
		return nil, &Problem{File: name, Line: t.Position.Line, Column: t.Position.Column, Text: "the file must hold a single document"}
	}
	// Decoding from the tree avoids parsing the text a second time, which took as long as all the rest.
	if err := yaml.NodeToValue(tree.Docs[0].Body, into, yaml.Strict()); err != nil {
		return nil, newProblem(name, err)
	}
	return &File{name, tree.Docs[0].Body}, nil
}

// ProblemList collects the invalid settings of a file.
type ProblemList struct {
	file *File
	errs []error
}

// NewProblemList returns an empty list for the file.
func (f *File) NewProblemList() *ProblemList { return &ProblemList{file: f} }

// Add adds a problem with a key such as pools[0].name.
func (l *ProblemList) Add(key, format string, args ...any) {
	p := &Problem{File: l.file.name, Text: key + ": " + fmt.Sprintf(format, args...)}
	p.Line, p.Column = l.file.position(key)
	l.errs = append(l.errs, p)
}

// Err returns all added problems as a joined error, or nil.
func (l *ProblemList) Err() error { return errors.Join(l.errs...) }

// newProblem converts an error of the YAML library to a Problem with its position.
func newProblem(file string, err error) error {
	p := &Problem{File: file, Text: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		p.Text = y.GetMessage()
		if t := y.GetToken(); t != nil && t.Position != nil {
			p.Line, p.Column = t.Position.Line, t.Position.Column
			if _, unknown := y.(*yaml.UnknownFieldError); unknown {
				p.Text = t.Value + ": " + p.Text
			} else if key := t.Prev; key != nil && key.Prev != nil && key.Value == ":" && !strings.Contains(p.Text, ": ") {
				p.Text = key.Prev.Value + ": " + p.Text
			}
		}
	}
	return p
}

// position returns the position of a key or, if the file does not have the key, that of the closest parent that it has.
func (f *File) position(key string) (line, column int) {
	for key != "" {
		if path, err := yaml.PathString("$." + key); err == nil {
			if node, err := path.FilterNode(f.body); err == nil && node != nil {
				t := node.GetToken()
				return t.Position.Line, t.Position.Column
			}
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	t := f.body.GetToken()
	return t.Position.Line, 1
}

// CheckEndMark returns a *Problem if the text in force ends with the line "...", the end mark of a YAML document, and the text that
// is to replace it does not: the file was cut off, and what is left of it may be valid.
func CheckEndMark(name string, inForce, text []byte) error {
	if !hasEndMark(inForce) || hasEndMark(text) {
		return nil
	}
	return &Problem{File: name, Text: `the line "..." that ended the file before is missing: it may be written only in part`}
}

// hasEndMark reports whether the last line of a text is the end mark.
func hasEndMark(text []byte) bool {
	return bytes.HasSuffix(bytes.TrimRight(text, " \t\r\n"), []byte("\n..."))
}
