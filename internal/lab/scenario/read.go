package scenario

import (
	"errors"
	"fmt"

	"kitewood/internal/yamlfile"
)

// Load reads a scenario file. Its errors are yamlfile.Problems, joined where there are several.
func Load(path string) (*Scenario, error) { return yamlfile.Load(path, Read) }

// Read reads the text of a scenario file, fills in what it leaves out, and checks it.
func Read(file string, text []byte) (*Scenario, error) {
	var s Scenario
	f, err := yamlfile.Read(file, text, &s)
	if err != nil {
		return nil, err
	}
	s.setDefaults()
	wrong := f.NewProblemList()
	s.validate(wrong.Add)
	if err := wrong.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check fills in and checks a scenario that was changed in memory. Its errors name keys without a place.
func (s *Scenario) Check() error {
	s.setDefaults()
	var all []error
	s.validate(func(key, format string, args ...any) {
		all = append(all, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...)))
	})
	return errors.Join(all...)
}
