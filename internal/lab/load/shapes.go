package load

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// ShapeNames maps the names of the predefined shapes to their descriptions.
var ShapeNames = map[string]string{
	"flat":             "the rate throughout",
	"steps":            "quarter, half, three quarters and the whole of the rate, a quarter of the time each",
	"ramp":             "from a tenth of the rate to the whole, evenly",
	"due-date-morning": "a bill-due-date morning: quiet, a steep rise, a burst of 1.8 times the rate as reminders go out, a plateau, a slow fall",
}

// NamedShape returns the predefined shape of that name over a duration, or reads a YAML file of points such as
// {at: 10s, factor: 1.5}.
func NamedShape(name string, d time.Duration) (Shape, error) {
	build := func(points ...float64) Shape { // pairs of a fraction of the duration and a factor
		var s Shape
		for i := 0; i < len(points); i += 2 {
			s = append(s, Point{At: time.Duration(points[i] * float64(d)), Factor: points[i+1]})
		}
		return s
	}
	switch name {
	case "", "flat":
		return nil, nil
	case "steps":
		return build(0, 0.25, 0.25, 0.25, 0.25, 0.5, 0.5, 0.5, 0.5, 0.75, 0.75, 0.75, 0.75, 1, 1, 1), nil
	case "ramp":
		return build(0, 0.1, 1, 1), nil
	case "due-date-morning":
		return build(0, 0.3, 0.15, 0.4, 0.35, 1, 0.45, 1, 0.47, 1.8, 0.55, 1.8, 0.58, 1.1, 0.8, 1, 1, 0.5), nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("--shape: %q is neither %s nor a file: %w", name, shapeNameList(), err)
	}
	var points []struct {
		At     string  `yaml:"at"`
		Factor float64 `yaml:"factor"`
	}
	if err := yaml.UnmarshalWithOptions(text, &points, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	var s Shape
	for i, p := range points {
		at, err := time.ParseDuration(p.At)
		switch {
		case err != nil:
			return nil, fmt.Errorf("%s: point %d: at: want a duration such as 10s, not %q", name, i+1, p.At)
		case i > 0 && at < s[i-1].At:
			return nil, fmt.Errorf("%s: point %d: at: %s is before the previous point", name, i+1, p.At)
		case !(p.Factor >= 0) || p.Factor > 1000:
			return nil, fmt.Errorf("%s: point %d: factor: %s is not between 0 and 1000", name, i+1, strconv.FormatFloat(p.Factor, 'g', -1, 64))
		}
		s = append(s, Point{at, p.Factor})
	}
	return s, nil
}

// shapeNameList returns the names of the predefined shapes, separated by commas.
func shapeNameList() string {
	var all []string
	for n := range ShapeNames {
		all = append(all, n)
	}
	return strings.Join(all, ", ")
}
