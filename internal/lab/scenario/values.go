package scenario

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/goccy/go-yaml/ast"

	"kitewood/internal/yamlfile"
)

// Duration is a duration written as 500ms or 1m30s.
type Duration = yamlfile.Duration

// Range is a number, or a range [low, high] from which a value is drawn for each machine.
type Range struct{ Low, High float64 }

// Draw returns a random number from the range.
func (r Range) Draw(rng *rand.Rand) float64 { return r.Low + (r.High-r.Low)*rng.Float64() }

// Mean returns the middle of the range.
func (r Range) Mean() float64 { return (r.Low + r.High) / 2 }

// UnmarshalYAML reads a number or a range.
func (r *Range) UnmarshalYAML(node ast.Node) error {
	read := func(n ast.Node) (float64, error) {
		v, err := strconv.ParseFloat(n.GetToken().Value, 64)
		if err != nil {
			return 0, yamlfile.ErrorAt(n, fmt.Sprintf("%s: expected a number, not %q", yamlfile.KeyPath(node), n.GetToken().Value))
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
		return yamlfile.ErrorAt(node, fmt.Sprintf("%s: a range has two numbers, [low, high]", yamlfile.KeyPath(node)))
	}
	if r.Low, err = read(list.Values[0]); err != nil {
		return err
	}
	r.High, err = read(list.Values[1])
	return err
}

// MarshalYAML writes a range in the form that UnmarshalYAML reads.
func (r Range) MarshalYAML() ([]byte, error) {
	if r.Low == r.High {
		return []byte(strconv.FormatFloat(r.Low, 'g', -1, 64)), nil
	}
	return fmt.Appendf(nil, "[%g, %g]", r.Low, r.High), nil
}
