package yamlfile

import (
	"cmp"
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Duration is a span written as 500ms or 1m30s. A bare number is refused: nobody can tell its unit.
type Duration time.Duration

// D is the span as the standard library has it.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalYAML reads a span.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	v, err := time.ParseDuration(text)
	if s, ok := node.(*ast.StringNode); ok {
		v, err = time.ParseDuration(s.Value)
	} else {
		err = fmt.Errorf("no unit")
	}
	if err != nil {
		return ErrorAt(node, fmt.Sprintf("%s: a span with its unit is wanted, like 500ms or 2s, not %q", KeyPath(node), text))
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML writes it as it is read.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Milliseconds is a span of so many.
func Milliseconds(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }

// Default gives a value that a file leaves out.
func Default[T comparable](p *T, v T) {
	*p = cmp.Or(*p, v)
}

// At is an error at the place of a node.
func ErrorAt(node ast.Node, message string) error {
	return &yaml.SyntaxError{Message: message, Token: node.GetToken()}
}

// Key is where a node stands, as in tiers[0].cold.time.
func KeyPath(node ast.Node) string {
	path := node.GetPath()
	if len(path) > 2 {
		return path[2:]
	}
	return path
}
