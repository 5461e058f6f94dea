package yamlfile

import (
	"cmp"
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Duration is a duration written as 500ms or 1m30s. A number without a unit is rejected as ambiguous.
type Duration time.Duration

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalYAML parses a duration with its unit.
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

// MarshalYAML writes the duration in the form that UnmarshalYAML reads.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Milliseconds returns a Duration of n milliseconds.
func Milliseconds(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }

// Default sets a value that the file leaves out, which is a zero value, to v.
func Default[T comparable](p *T, v T) {
	*p = cmp.Or(*p, v)
}

// ErrorAt returns an error with the position of a node.
func ErrorAt(node ast.Node, message string) error {
	return &yaml.SyntaxError{Message: message, Token: node.GetToken()}
}

// KeyPath returns the key of a node with its parents, such as tiers[0].cold.time.
func KeyPath(node ast.Node) string {
	path := node.GetPath()
	if len(path) > 2 {
		return path[2:]
	}
	return path
}
