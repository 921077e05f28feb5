package engine

import (
	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/standin/fault"
)

// Fault kinds of POST /faults. The target is a request ID unless the kind says
// otherwise. The kinds named after frames, and FaultCutStream, apply per frame;
// the others apply per request, order or report.
const (
	// FaultCrash crashes the engine after delay_ms. It takes effect once, when it
	// is injected.
	FaultCrash = "crash"
	// FaultCrashInChange crashes the engine halfway through its next role change
	// or model load. The target is the command.
	FaultCrashInChange = "crash_in_change"
	// FaultFreeze permanently stops the traffic on all open connections; later
	// connections work. It takes effect once, when it is injected.
	FaultFreeze = "freeze"
	// FaultDropFrame omits a frame.
	FaultDropFrame = "drop_frame"
	// FaultDuplicateFrame sends a frame twice.
	FaultDuplicateFrame = "duplicate_frame"
	// FaultLateFrame sends a frame a second time, after the next one.
	FaultLateFrame = "late_frame"
	// FaultMisroutedFrame sends a frame on another open stream instead. If no other
	// stream is open, it sends a frame of a request that doesn't exist before this
	// frame.
	FaultMisroutedFrame = "cross_frame"
	// FaultGarbageFrame sends a frame that is not valid JSON before the next
	// frame.
	FaultGarbageFrame = "garbage_frame"
	// FaultWrongID answers with the ID of another request.
	FaultWrongID = "wrong_id"
	// FaultCutStream closes the connection instead of sending a frame.
	FaultCutStream = "cut_stream"
	// FaultNoEnd ends a streamed answer without its final frame and end marker.
	FaultNoEnd = "no_end"
	// FaultSlow multiplies the duration of steps by value. It has no target.
	FaultSlow = "slow"
	// FaultFalseLoad multiplies the counts in load reports by value. It has no
	// target.
	FaultFalseLoad = "lie_load"
	// FaultRefuse refuses a request with status 503 and run state not_run.
	FaultRefuse = "refuse"
	// FaultHang accepts a request or order, but neither executes nor answers it.
	// The target is a request ID or a command.
	FaultHang = "hang"
	// FaultLoseAnswer executes an order and closes the connection without an
	// answer. The target is the command.
	FaultLoseAnswer = "lose_answer"
	// FaultIgnoreFence accepts orders with stale fencing tokens. The target is the
	// command.
	FaultIgnoreFence = "ignore_fence"
)

// applyImmediate applies a fault that takes effect when it is injected. It
// returns false for all other kinds.
func (s *Server) applyImmediate(f fault.Fault) bool {
	switch f.Kind {
	case FaultCrash:
		s.crashAfter(f.Delay())
	case FaultFreeze:
		if s.config.Freeze != nil {
			s.config.Freeze()
		}
	default:
		return false
	}
	return true
}

// slowdown returns the factor of an active FaultSlow, or 1.
func (s *Server) slowdown() float64 {
	if f, hit := s.faults.Take(FaultSlow, ""); hit && f.Value > 0 {
		return f.Value
	}
	return 1
}

// falsifyLoad applies an active FaultFalseLoad to a load report.
func (s *Server) falsifyLoad(load *backend.Load) {
	f, hit := s.faults.Take(FaultFalseLoad, "")
	if !hit {
		return
	}
	for _, count := range []*int{&load.Running, &load.Waiting, &load.PrefillTokens, &load.DecodeTokens, &load.KVUsed} {
		*count = int(float64(*count) * f.Value)
	}
}
