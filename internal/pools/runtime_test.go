package pools

import (
	"runtime"
	"runtime/debug"
	"testing"
)

// Short-lived garbage must not grow to a multiple of the live heap: on an idle sidecar that looks like a leak for minutes.
func TestConfigureRuntime(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	defer debug.SetGCPercent(debug.SetGCPercent(100))
	ConfigureRuntime(1, 48)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var buffer []byte
	for range 8 << 20 / 4096 {
		buffer = make([]byte, 4096)
	}
	runtime.KeepAlive(buffer)
	if runtime.ReadMemStats(&after); after.NumGC == before.NumGC {
		t.Errorf("no collection after %d MB of garbage", (after.HeapAlloc-before.HeapAlloc)>>20)
	}
}
