package daemon

import "testing"

// Guards against running requests that are ended by short interruptions, even
// repeated ones, and against requests that are not ended after one long
// interruption.
func TestUnverifiedNeedsOneLongInterruption(t *testing.T) {
	var u unverifiedTimer
	now := time0
	for range 10 {
		for range 29 {
			if u.exceeded(now, false) {
				t.Fatalf("exceeded %s after the start", now.Sub(time0))
			}
			now = now.Add(unverifiedInterval)
		}
		if u.exceeded(now, true) {
			t.Fatal("exceeded while permitted")
		}
	}
	u.exceeded(now, false)
	if !u.exceeded(now.Add(unverifiedLimit), false) {
		t.Fatal("not exceeded after the limit")
	}
}
