package compare

import (
	"container/heap"
	"time"
)

// eventQueue is the event queue of a simulation with its virtual clock. Events of
// the same time run in the order in which they were added.
type eventQueue struct {
	now    time.Time
	serial uint64
	events eventHeap
}

type event struct {
	at     time.Time
	serial uint64
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

func (t *eventQueue) at(when time.Time, run func()) {
	t.serial++
	heap.Push(&t.events, event{when, t.serial, run})
}

func (t *eventQueue) after(delay time.Duration, run func()) { t.at(t.now.Add(delay), run) }

// every runs an action at a fixed interval, first after one interval.
func (t *eventQueue) every(interval time.Duration, run func()) {
	t.after(interval, func() {
		run()
		t.every(interval, run)
	})
}

// runUntil runs the events up to and including a time.
func (t *eventQueue) runUntil(end time.Time) {
	for len(t.events) > 0 && !t.events[0].at.After(end) {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
	t.now = end
}
