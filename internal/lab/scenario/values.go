package scenario

import (
	"fmt"
	"math/rand/v2"
	"strconv"
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
		return at(node, fmt.Sprintf("%s: a span with its unit is wanted, like 500ms or 2s, not %q", key(node), text))
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML writes it as it is read.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Range is a figure, or a range [low, high] from which each machine's is drawn.
type Range struct{ Low, High float64 }

// Draw takes a figure from the range.
func (r Range) Draw(rng *rand.Rand) float64 { return r.Low + (r.High-r.Low)*rng.Float64() }

// Mean is the middle of the range.
func (r Range) Mean() float64 { return (r.Low + r.High) / 2 }

// UnmarshalYAML reads a figure or a range.
func (r *Range) UnmarshalYAML(node ast.Node) error {
	read := func(n ast.Node) (float64, error) {
		v, err := strconv.ParseFloat(n.GetToken().Value, 64)
		if err != nil {
			return 0, at(n, fmt.Sprintf("%s: a number is wanted, not %q", key(node), n.GetToken().Value))
		}
		return v, nil
	}
	var err error
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		r.Low, err = read(node)
		r.High = r.Low
		return err
	}
	if len(list.Values) != 2 {
		return at(node, fmt.Sprintf("%s: a range has two figures, [low, high]", key(node)))
	}
	if r.Low, err = read(list.Values[0]); err != nil {
		return err
	}
	r.High, err = read(list.Values[1])
	return err
}

// MarshalYAML writes it as it is read.
func (r Range) MarshalYAML() ([]byte, error) {
	if r.Low == r.High {
		return []byte(strconv.FormatFloat(r.Low, 'g', -1, 64)), nil
	}
	return fmt.Appendf(nil, "[%g, %g]", r.Low, r.High), nil
}

func at(node ast.Node, message string) error {
	return &yaml.SyntaxError{Message: message, Token: node.GetToken()}
}

// key is where a node stands, as in tiers[0].cold.time.
func key(node ast.Node) string {
	path := node.GetPath()
	if len(path) > 2 {
		return path[2:]
	}
	return path
}
