// Package scenarios embeds the scenarios that ship with the lab.
package scenarios

import (
	"embed"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"
)

//go:embed *.yaml pools/*.yaml
var files embed.FS

// Names returns the names of the embedded scenarios, sorted.
func Names() []string {
	return namesIn(".")
}

// PoolNames returns the names of the embedded scenarios with several pools, sorted. Find expects them as pools/NAME.
func PoolNames() []string { return namesIn("pools") }

// namesIn returns the names of the scenarios in an embedded directory, sorted.
func namesIn(dir string) []string {
	var out []string
	entries, _ := fs.ReadDir(files, dir)
	for _, e := range entries {
		if !e.IsDir() {
			out = append(out, strings.TrimSuffix(e.Name(), path.Ext(e.Name())))
		}
	}
	slices.Sort(out)
	return out
}

// Find reads a scenario by its path, or an embedded one by its name. file is the file name for error messages.
func Find(name string) (file string, text []byte, err error) {
	text, err = os.ReadFile(name)
	if err == nil {
		return name, text, nil
	}
	if embedded, ferr := files.ReadFile(name + ".yaml"); ferr == nil {
		return "scenarios/" + name + ".yaml", embedded, nil
	}
	return name, nil, err
}
