package main

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// The committed schema matches the types and holds the descriptions of the settings.
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
		t.Error("docs/configuration.schema.json is out of date: run go generate ./internal/config")
	}
	for _, part := range []string{`"late_worth"`, "wildcards such as *.example.org", `"additionalProperties": false`, `"pattern"`} {
		if !strings.Contains(string(want), part) {
			t.Errorf("the schema does not contain %s", part)
		}
	}
}
