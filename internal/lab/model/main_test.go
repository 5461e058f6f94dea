package model

import (
	"testing"

	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }
