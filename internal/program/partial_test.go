package program

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fileConfig is a configuration of two pools, each line of which but the first few ends a valid, shorter one.
const fileConfig = `name: edge
listeners: [{address: "127.0.0.1:8080"}]
pools:
  - name: first
    members: {discovery: "127.0.0.1:8500"}
    classes: [{name: any, effect: unsafe, methods: [GET, PUT], aim: 1s, deadline: 3s}]
  - name: second
    members: {discovery: "127.0.0.1:8500"}
    classes: [{name: any, effect: unsafe, methods: [GET, PUT], aim: 1s, deadline: 3s}]
routes:
  - {path: /p, pool: first}
  - {path: /q, pool: second}
...
`

// No beginning of a configuration in JSON is a valid configuration.
func TestCutOffJSONIsRejected(t *testing.T) {
	whole := strings.TrimSpace(validConfig)
	for n := range whole {
		if _, err := load(t, whole[:n], nil); err == nil {
			t.Errorf("%d of %d bytes are taken", n, len(whole))
		}
	}
}

// A configuration file with an end mark is not replaced by a beginning of itself, as a full disk leaves it, also if that is valid;
// nor by a file that cannot be read.
func TestCutOffFileIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.yaml")
	whole, validBeginnings := strings.TrimSpace(fileConfig), 0
	for n := range len(whole) + 1 {
		if err := os.WriteFile(path, []byte(whole[:n]), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := readConfig(path, nil); err == nil && n < len(whole) {
			validBeginnings++
		}
		_, text, err := readConfig(path, []byte(fileConfig))
		if (err == nil) != (n == len(whole)) || err == nil && string(text) != whole {
			t.Errorf("%d of %d bytes: error %v", n, len(whole), err)
		}
	}
	if validBeginnings == 0 {
		t.Error("no beginning of the file is valid by itself: the test shows nothing")
	}
	if _, _, err := readConfig(filepath.Dir(path), []byte(fileConfig)); err == nil {
		t.Error("a file that cannot be read is taken")
	}
}
