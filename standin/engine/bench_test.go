package engine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCoreStep measures the CPU cost of one step of a full batch, which
// bounds how fast simulations in virtual time can run.
func BenchmarkCoreStep(b *testing.B) {
	config := Default("e", "m")
	config.KVTokens = 1 << 40
	core := NewCore(config, epoch)
	for i := range config.MaxBatch {
		_ = core.Submit(epoch, request(fmt.Sprint(i), i, 256, 1<<30))
	}
	core.Advance(epoch.Add(10 * time.Second))
	b.ResetTimer()
	for b.Loop() {
		core.Advance(core.Next())
	}
}
