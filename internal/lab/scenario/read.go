package scenario

import (
	"errors"
	"fmt"

	"kitewood/internal/yamlfile"
)

// Load reads a scenario file. Its errors are yamlfile.Problems, joined where there are several.
func Load(path string) (*Scenario, error) { return yamlfile.Load(path, Read) }

// Read parses the text of a scenario file, sets defaults and checks the result.
func Read(file string, text []byte) (*Scenario, error) {
	var s Scenario
	f, err := yamlfile.Read(file, text, &s)
	if err != nil {
		return nil, err
	}
	s.setDefaults()
	problems := f.NewProblemList()
	s.validate(problems.Add)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check sets defaults and checks a scenario that was changed in memory. Its errors name keys without file and line.
func (s *Scenario) Check() error {
	s.setDefaults()
	var all []error
	s.validate(func(key, format string, args ...any) {
		all = append(all, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...)))
	})
	return errors.Join(all...)
}
