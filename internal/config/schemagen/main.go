// Command schemagen writes the JSON schema of the configuration file, for editors. It derives the schema from the types of
// package config and their comments. Run it with go generate ./internal/config.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"

	"github.com/invopop/jsonschema"

	"kitewood/internal/config"
)

// configPackage is the package whose comments describe the settings.
const configPackage = "kitewood/internal/config"

func main() {
	text, err := generate(".")
	if err == nil && len(os.Args) == 2 {
		err = os.WriteFile(os.Args[1], text, 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "schemagen:", err)
		os.Exit(1)
	}
}

// generate returns the schema; folder is the directory of package config.
func generate(folder string) ([]byte, error) {
	r := &jsonschema.Reflector{FieldNameTag: "yaml", DoNotReference: true, Mapper: func(t reflect.Type) *jsonschema.Schema {
		if t == reflect.TypeFor[config.Duration]() {
			return &jsonschema.Schema{Type: "string", Pattern: `^-?([0-9.]+(ns|us|µs|ms|s|m|h))+$`, Description: "a span with its unit, like 500ms or 1m30s"}
		}
		return nil
	}}
	if err := r.AddGoComments(configPackage, folder, jsonschema.WithFullComment()); err != nil {
		return nil, err
	}
	s := r.Reflect(&config.File{})
	s.Title = "kitewood configuration"
	s.ID = ""
	text, err := json.MarshalIndent(s, "", "  ")
	return append(text, '\n'), err
}
