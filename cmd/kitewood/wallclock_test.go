package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// wallClockUses are the places, by file, where code that the sidecar links reads or converts the wall clock, with their number. The
// wall clock can be stepped while the process runs, so nothing that is compared with a later time may come from it; see
// docs/sidecar.md, Stricter terms.
var wallClockUses = map[string]int{
	"internal/routing/interfaces.go": 2, // Clock: the base, a constant, to which the monotonic clock is added
	"internal/routing/loop.go":       1, // Loop.wallClock, for ages of starts alone
	"internal/transport/server.go":   1, // pastDeadline, a read deadline that has passed by every clock
	"internal/listfile/listfile.go":  2, // a start in a file, used as since_ms is
}

// wallClockNames are the functions and methods of package time that lose the monotonic clock or read the wall clock as a number; Round
// does so with 0 alone.
var wallClockNames = map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true, "ModTime": true, "Parse": true,
	"ParseInLocation": true, "Round": true, "UTC": true, "Local": true, "In": true, "AppendFormat": true}

// The sidecar takes the wall clock in the known places alone.
func TestWallClockUses(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", `{{if .Module}}{{if eq .Module.Path "kitewood"}}{{$d := .Dir}}{{range .GoFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{end}}{{end}}`, ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	uses := map[string]int{}
	for path := range strings.FieldsSeq(string(out)) {
		name, _ := filepath.Rel(root, path)
		for _, use := range wallClockCalls(t, path) {
			uses[filepath.ToSlash(name)]++
			t.Logf("%s: %s", name, use)
		}
	}
	if !maps.Equal(uses, wallClockUses) {
		t.Errorf("the wall clock is used in %v, want %v", uses, wallClockUses)
	}
}

// wallClockCalls returns the calls in a file that match wallClockNames.
func wallClockCalls(t *testing.T, path string) (calls []string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if call, ok := n.(*ast.CallExpr); ok {
			if f, ok := call.Fun.(*ast.SelectorExpr); ok && wallClockNames[f.Sel.Name] && (f.Sel.Name != "Round" || isZero(call.Args)) {
				calls = append(calls, f.Sel.Name)
			}
		}
		return true
	})
	return calls
}

// isZero reports whether the only argument of a call is the literal 0.
func isZero(args []ast.Expr) bool {
	if len(args) != 1 {
		return false
	}
	literal, ok := args[0].(*ast.BasicLit)
	return ok && literal.Value == "0"
}
