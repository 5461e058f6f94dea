package program

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// good is a whole configuration with one class of each kind.
const good = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:7070","zone":"a","type":"m2",
 "group":3,"status":"Ready","weight":1.0,"since_ms":0}]},
"settings":{"profiles":[{"name":"look","repeat":"safe","aimS":2,"giveUpS":6,"points":1},
  {"name":"pay","repeat":"unsafe","aimS":2,"giveUpS":4,"points":3}],
 "permissions":{"connIdleS":30,"connectTimeoutS":0.25,"sendCap":4},"invariants":{"stopSendingWithinS":0.5},
 "registryMode":"ask","telemetry":{"via":"inline","fields":["q","busy"]},"zones":["a"],"shapes":["m1","m2"]}}`

func load(t *testing.T, text string, env map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(name string) string {
		if name == "ROUTER_CONFIG" {
			return path
		}
		return env[name]
	})
}

func TestLoad(t *testing.T) {
	c, err := load(t, good, map[string]string{"ROUTER_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n4" || c.Balancer.Seed != 0x8c1f30d27a5be964 || len(c.CachedEndpoints.Endpoints) != 1 || c.Sockets != 1024 ||
		c.Classes[0].Methods[0] != "GET" || c.Classes[1].Methods[0] != "POST" || c.Classes[1].Deadline != 4*time.Second ||
		c.ConnTimeout != 250*time.Millisecond || c.Kinds[1] != "m2" {
		t.Errorf("%+v", c)
	}
}

// What is wrong with a configuration is said in one line that names the place.
func TestLoadBad(t *testing.T) {
	for old, c := range map[string][2]string{
		`"seed":"8c1f30d27a5be964"`: {`"seed":"odd"`, "seed"},
		`"127.0.0.1:8500"`:          {`"nowhere"`, "discovery"},
		`"sockets":1024`:            {`"sockets":3`, "sockets"},
		`"memory_mb":192`:           {`"memory_mb":1`, "memory_mb"},
		`"cores":1.0`:               {`"cores":0`, "cores"},
		`"status":"Ready"`:          {`"status":"Odd"`, "known"},
		`"registryMode":"ask"`:      {`"registryMode":"odd"`, "registryMode"},
		`"connIdleS":30`:            {`"connIdleS":0`, "connIdleS"},
		`"sendCap":4`:               {`"sendCap":0`, "MaxAttempts"},
		`"name":"look"`:             {`"name":""`, "profile 0"},
		`"name":"n3"`:               {`"name":`, "config.json"},
	} {
		_, err := load(t, strings.Replace(good, old, c[0], 1), nil)
		if err == nil || !strings.Contains(err.Error(), c[1]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c[0], err)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil {
		t.Error("no configuration is one")
	}
}
