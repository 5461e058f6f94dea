package scenario

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is what is wrong with a scenario file, and where.
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

// Load reads a scenario file. Its errors are Problems, joined where there are several.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(path, text)
}

// Read reads the text of a scenario file, fills in what it leaves out, and checks it.
func Read(file string, text []byte) (*Scenario, error) {
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, problem(file, err)
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return nil, &Problem{File: file, Text: "the file is empty"}
	}
	if len(tree.Docs) > 1 {
		t := tree.Docs[1].Start
		return nil, &Problem{File: file, Line: t.Position.Line, Column: t.Position.Column, Text: "a file holds one scenario"}
	}
	var s Scenario
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return nil, problem(file, err)
	}
	s.fill()
	var all []error
	for _, w := range s.wrong() {
		p := &Problem{File: file, Text: w.key + ": " + w.text}
		p.Line, p.Column = position(tree.Docs[0].Body, w.key)
		all = append(all, p)
	}
	if err := errors.Join(all...); err != nil {
		return nil, err
	}
	return &s, nil
}

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
func position(body ast.Node, key string) (line, column int) {
	for key != "" {
		if path, err := yaml.PathString("$." + key); err == nil {
			if node, err := path.FilterNode(body); err == nil && node != nil {
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
	t := body.GetToken()
	return t.Position.Line, 1
}
