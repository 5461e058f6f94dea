package model

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261201") // the same cases on every machine
	os.Exit(m.Run())
}
