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

// Bounds that keep a decision file readable.
const (
	mostFileLines     = 440 // that are not blank
	mostFunctionLines = 60
	mostLineRunes     = 110
)

// decisionFiles are what the deploy file names as the decision logic.
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

// The decision files stay readable, each by itself, and the deploy file names all of them: every file of the package that
// has a method of Balancer, but the two that hold state and views of it.
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
	for _, e := range entries {
		name := e.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(files, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		decides := false
		for _, d := range f.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok {
				continue
			}
			decides = decides || fn.Recv != nil
			from, to := files.Position(fn.Pos()).Line, files.Position(fn.End()).Line
			if n := to - from + 1; n > mostFunctionLines {
				t.Errorf("%s:%d %s has %d lines, over %d", name, from, fn.Name.Name, n, mostFunctionLines)
			}
		}
		plain := slices.Contains([]string{"api.go", "state.go", "view.go", "feed.go"}, name)
		if decides && !plain && !slices.Contains(names, name) {
			t.Errorf("%s decides, and deploy/balancer.toml does not name it", name)
		}
		checkLines(t, name, slices.Contains(names, name))
	}
}

// checkLines holds a file to the bounds on its lines, and a decision file to that on their length.
func checkLines(t *testing.T, name string, decides bool) {
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
		if len([]rune(in.Text())) > mostLineRunes && decides {
			t.Errorf("%s:%d is longer than %d characters", name, n, mostLineRunes)
		}
	}
	if lines > mostFileLines {
		t.Errorf("%s holds %d lines, over %d", name, lines, mostFileLines)
	}
}
