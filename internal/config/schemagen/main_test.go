package main

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// The schema that ships is that of the types, with a description of every key.
func TestCommittedSchemaIsUpToDate(t *testing.T) {
	t.Chdir("..")
	want, err := generate(".")
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile("../../docs/configuration.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Error("docs/configuration.schema.json is not that of the types: go generate ./internal/config")
	}
	for _, part := range []string{`"late_worth"`, "wildcards such as *.example.org", `"additionalProperties": false`, `"pattern"`} {
		if !strings.Contains(string(want), part) {
			t.Errorf("the schema does not hold %s", part)
		}
	}
}
