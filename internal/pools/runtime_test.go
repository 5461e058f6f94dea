package pools

import (
	"runtime"
	"runtime/debug"
	"testing"
)

// What lives for a moment must not pile up to a multiple of what stays: on a quiet sidecar that looks like a leak for
// minutes.
func TestConfigureRuntime(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	defer debug.SetGCPercent(debug.SetGCPercent(100))
	ConfigureRuntime(1, 48)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var kept []byte
	for range 8 << 20 / 4096 {
		kept = make([]byte, 4096)
	}
	runtime.KeepAlive(kept)
	if runtime.ReadMemStats(&after); after.NumGC == before.NumGC {
		t.Errorf("%d MB were not collected", (after.HeapAlloc-before.HeapAlloc)>>20)
	}
}
