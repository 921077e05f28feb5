package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/hlc"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/settings"
)

// Guards against a busy control goroutine that loses what a peer sends only once:
// copies of usage deltas and the announcement that a process ends.
func TestFullInboxKeepsWhatIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	c := &controlLoop{inbox: make(chan any, 1)}
	c.emit(peerMessage{message: &Heartbeat{}})
	c.emit(peerMessage{message: &Heartbeat{}})
	g.Expect(c.inbox).To(HaveLen(1), "a heartbeat is dropped while the inbox is full")
	for _, once := range []peerMessage{{message: &UsageCopy{}}, {message: &Heartbeat{Stopped: true}}} {
		sent := make(chan struct{})
		go func() { c.emit(once); close(sent) }()
		g.Consistently(sent, 20*time.Millisecond).ShouldNot(BeClosed())
		<-c.inbox
		g.Eventually(sent).Should(BeClosed())
		g.Expect(c.inbox).To(HaveLen(1))
	}
}

// Guards against reads through silent peers that outlast the withdrawal bound.
func TestReadThroughPeersIsFasterThanTheWithdrawalBound(t *testing.T) {
	g := NewWithT(t)
	g.Expect(directTimeout + relayAttempts*relayTimeout).To(BeNumerically("<", settings.Default().Config.WithdrawalBound))
}

// failingLog fails reads while down is set.
type failingLog struct {
	hosting.Log
	down atomic.Bool
}

func (l *failingLog) Read(ctx context.Context, _ string, _ int64, _ int, wait time.Duration) (hosting.Page, error) {
	if l.down.Load() {
		return hosting.Page{}, errors.New("log is away")
	}
	sleep(ctx, wait)
	return hosting.Page{}, ctx.Err()
}

// Guards against a log that can't be read without any sign of it, and against a log
// line for each failed read.
func TestFailedReadsOfTheLogAreRecordedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var lines []string
		out := event.NewRecorder(hlc.New(time.Now), "vm", nil, zerolog.New(zerolog.MultiLevelWriter()).Hook(
			zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) { lines = append(lines, message) })))
		log := &failingLog{}
		failed := readsFailed.Get()
		tail := &tailer{log: log, stream: "config", wait: readWait, emit: func(any) {}, events: NewRecorder(out)}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { tail.run(ctx); close(done) }()
		time.Sleep(time.Second)
		log.down.Store(true)
		time.Sleep(5 * time.Second)
		log.down.Store(false)
		time.Sleep(time.Second)
		cancel()
		<-done
		out.Close()
		g.Expect(readsFailed.Get() - failed).To(BeNumerically(">", 5))
		g.Expect(lines).To(HaveLen(2))
	})
}
