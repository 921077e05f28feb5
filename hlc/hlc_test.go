package hlc

import (
	"errors"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mimosakeel/mimosakeel/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(13, 300)
	os.Exit(m.Run())
}

// Guards against an effect whose timestamp is not after that of its cause, when
// the wall clocks of the processes jump in both directions.
func TestTimestampsRespectCauseAndEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		walls := []int64{5_000, 5_000, 5_000}
		clocks := make([]*Clock, len(walls))
		last := make([]Timestamp, len(walls))
		for i := range clocks {
			clocks[i] = New(func() time.Time { return time.UnixMilli(walls[i]) })
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			from := rapid.IntRange(0, 2).Draw(t, "from")
			to := rapid.IntRange(0, 2).Draw(t, "to")
			walls[from] = max(1, walls[from]+rapid.Int64Range(-50, 50).Draw(t, "jump"))
			cause := clocks[from].Now()
			if cause.Compare(last[from]) <= 0 {
				t.Fatalf("clock %d went from %v to %v", from, last[from], cause)
			}
			last[from] = cause
			if err := clocks[to].Observe(cause); err != nil {
				t.Fatal(err)
			}
			effect := clocks[to].Now()
			if effect.Compare(cause) <= 0 {
				t.Fatalf("effect %v of cause %v", effect, cause)
			}
			last[to] = effect
		}
	})
}

// Guards against a process with a wrong wall clock whose messages move the clocks
// of all others.
func TestFarTimestampIsIgnored(t *testing.T) {
	c := New(func() time.Time { return time.UnixMilli(1000) })
	far := Timestamp{WallMs: 1001 + MaxAhead.Milliseconds()}
	if err := c.Observe(far); !errors.Is(err, ErrAhead) {
		t.Fatalf("got %v", err)
	}
	if got := c.Now(); got.WallMs != 1000 {
		t.Fatalf("got %v", got)
	}
}
