package balance

import (
	"bufio"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Limits that keep a decision file readable.
const (
	maxFileLines     = 440 // without blank lines
	maxFunctionLines = 60
	maxLineRunes     = 110
)

// decisionFiles returns the file names that the deploy file lists as the decision logic.
func decisionFiles(t *testing.T) (names []string) {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindSubmatch(deploy)
	if policy == nil {
		t.Fatal("deploy/balancer.toml names no policy")
	}
	for _, m := range regexp.MustCompile(`"balance/([a-z]+\.go)"`).FindAllSubmatch(policy[1], -1) {
		names = append(names, string(m[1]))
	}
	return names
}

// The decision files stay within their limits, and the deploy file lists all of them: every file of the package that has a method
// of a type, except those that hold the interface, state, views and observations.
func TestPolicyLimits(t *testing.T) {
	names := decisionFiles(t)
	for _, name := range []string{"balance.go", "trend.go", "subset.go", "pick.go", "slowstart.go", "outlier.go", "shedding.go", "retrybudget.go", "hold.go"} {
		if !slices.Contains(names, name) {
			t.Errorf("deploy/balancer.toml does not name %s", name)
		}
	}
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	files := token.NewFileSet()
	for _, entry := range entries {
		name := entry.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(files, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		hasMethods := false
		for _, d := range f.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok {
				continue
			}
			hasMethods = hasMethods || fn.Recv != nil
			from, to := files.Position(fn.Pos()).Line, files.Position(fn.End()).Line
			if n := to - from + 1; n > maxFunctionLines {
				t.Errorf("%s:%d %s has %d lines, over %d", name, from, fn.Name.Name, n, maxFunctionLines)
			}
		}
		exempt := slices.Contains([]string{"api.go", "state.go", "view.go", "feed.go"}, name)
		if hasMethods && !exempt && !slices.Contains(names, name) {
			t.Errorf("%s holds decisions, and deploy/balancer.toml does not name it", name)
		}
		checkLines(t, name, slices.Contains(names, name))
	}
}

// checkLines checks the number of lines of a file and, for a decision file, their length.
func checkLines(t *testing.T, name string, isDecisionFile bool) {
	t.Helper()
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := 0
	for in, n := bufio.NewScanner(f), 1; in.Scan(); n++ {
		if strings.TrimSpace(in.Text()) != "" {
			lines++
		}
		if len([]rune(in.Text())) > maxLineRunes && isDecisionFile {
			t.Errorf("%s:%d is longer than %d characters", name, n, maxLineRunes)
		}
	}
	if lines > maxFileLines {
		t.Errorf("%s holds %d lines, over %d", name, lines, maxFileLines)
	}
}
