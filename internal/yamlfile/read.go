// Package yamlfile reads YAML files strictly: each error names its file, line, column and key.
package yamlfile

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is what is wrong with a file, and where.
type Problem struct {
	File         string
	Line, Column int
	Text         string // begins with the key
}

func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

// OneLine is what an error says, of several Problems too, on one line, as logs and supervisors show it.
func OneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// Load reads the file of a path by a function that takes its name and text.
func Load[T any](path string, read func(name string, text []byte) (T, error)) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, err
	}
	return read(path, text)
}

// File is a file that was read.
type File struct {
	name string
	body ast.Node
}

// Read reads the text of a file that holds one document into a struct; unknown keys are errors. What it returns finds
// places of keys, for what is found wrong later.
func Read(name string, text []byte, into any) (*File, error) {
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, problem(name, err)
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return nil, &Problem{File: name, Text: "the file is empty"}
	}
	if len(tree.Docs) > 1 {
		t := tree.Docs[1].Start
		return nil, &Problem{File: name, Line: t.Position.Line, Column: t.Position.Column, Text: "a file holds one document"}
	}
	// From the tree: reading the text a second time took as long as all the rest.
	if err := yaml.NodeToValue(tree.Docs[0].Body, into, yaml.Strict()); err != nil {
		return nil, problem(name, err)
	}
	return &File{name, tree.Docs[0].Body}, nil
}

// Wrong collects what is wrong with the figures of a file.
type Wrong struct {
	file *File
	all  []error
}

// Wrong returns an empty collection.
func (f *File) NewProblemList() *Wrong { return &Wrong{file: f} }

// Add notes that a key, such as pools[0].name, is wrong.
func (w *Wrong) Add(key, format string, args ...any) {
	p := &Problem{File: w.file.name, Text: key + ": " + fmt.Sprintf(format, args...)}
	p.Line, p.Column = w.file.position(key)
	w.all = append(w.all, p)
}

// Err is all that was added, as Problems, or nil.
func (w *Wrong) Err() error { return errors.Join(w.all...) }

// problem takes the position out of an error of the YAML library.
func problem(file string, err error) error {
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

// position finds the line of a key; where the file leaves the key out, that of what it would stand in.
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
