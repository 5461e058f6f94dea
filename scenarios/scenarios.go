// Package scenarios holds the scenarios that ship with the lab.
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

// Names are the scenarios that ship, sorted.
func Names() []string {
	return namesIn(".")
}

// PoolNames are those of processes with several pools, sorted. Find knows them as pools/NAME.
func PoolNames() []string { return namesIn("pools") }

func namesIn(folder string) []string {
	var out []string
	entries, _ := fs.ReadDir(files, folder)
	for _, e := range entries {
		if !e.IsDir() {
			out = append(out, strings.TrimSuffix(e.Name(), path.Ext(e.Name())))
		}
	}
	slices.Sort(out)
	return out
}

// Find reads a scenario by its path, or by the name of one that ships. file is what its errors name.
func Find(name string) (file string, text []byte, err error) {
	text, err = os.ReadFile(name)
	if err == nil {
		return name, text, nil
	}
	if shipped, ferr := files.ReadFile(name + ".yaml"); ferr == nil {
		return "scenarios/" + name + ".yaml", shipped, nil
	}
	return name, nil, err
}
