package edge

import (
	"sync"
	"time"
)

// budgetBuckets is the number of parts of a window that are counted apart.
const budgetBuckets = 20

// retryBudget bounds the attempts beyond the first one of each request. All
// daemons together may make ratio x requests + extra of them in any window;
// each daemon keeps to its own requests and to its share of the extra ones, so
// that the sum holds without a message.
type retryBudget struct {
	ratio  float64
	extra  float64
	bucket time.Duration
	// shares is the number of daemons that extra is divided among.
	shares func() int
	now    func() time.Time

	mu       sync.Mutex
	services map[string]*budgetWindow
}

// budgetWindow counts requests and repeats in a ring of buckets.
type budgetWindow struct {
	bucket   int64
	requests [budgetBuckets]int
	repeats  [budgetBuckets]int
}

func newRetryBudget(s RetrySettings, shares func() int) *retryBudget {
	return &retryBudget{
		ratio:    s.Ratio,
		extra:    s.Extra,
		bucket:   s.Window / (budgetBuckets - 1),
		shares:   shares,
		now:      time.Now,
		services: map[string]*budgetWindow{},
	}
}

// set changes the bounds; counts are kept unless the window changes.
func (b *retryBudget) set(s RetrySettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.extra = s.Ratio, s.Extra
	if bucket := s.Window / (budgetBuckets - 1); bucket != b.bucket {
		b.bucket = bucket
		clear(b.services)
	}
}

func (b *retryBudget) window(service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	w.advance(b.now().UnixNano() / int64(max(b.bucket, 1)))
	return w
}

// advance clears the buckets that are older than the ring.
func (w *budgetWindow) advance(bucket int64) {
	for steps := min(bucket-w.bucket, budgetBuckets); steps > 0; steps-- {
		at := (bucket - steps + 1) % budgetBuckets
		w.requests[at], w.repeats[at] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
}

// sums returns the counts of the window. The ring is up to one bucket longer
// than the window, so the oldest bucket counts for repeats only.
func (w *budgetWindow) sums() (requests, repeats int) {
	oldest := int((w.bucket + 1) % budgetBuckets)
	for i := range budgetBuckets {
		if i != oldest {
			requests += w.requests[i]
		}
		repeats += w.repeats[i]
	}
	return requests, repeats
}

// Arrived implements dispatch.RetryBudget.
func (b *retryBudget) Arrived(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.bucket%budgetBuckets]++
}

// Take implements dispatch.RetryBudget.
func (b *retryBudget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	if !b.allows(w) {
		return false
	}
	w.repeats[w.bucket%budgetBuckets]++
	return true
}

// Has implements dispatch.RetryBudget.
func (b *retryBudget) Has(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.window(service))
}

// Charge implements dispatch.RetryBudget.
func (b *retryBudget) Charge(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.repeats[w.bucket%budgetBuckets]++
}

// State implements dispatch.RetryBudget.
func (b *retryBudget) State(service string) (repeats int, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(b.window(service))
}

func (b *retryBudget) state(w *budgetWindow) (repeats int, allowed float64) {
	requests, repeats := w.sums()
	return repeats, b.ratio*float64(requests) + b.extra/float64(b.shares())
}

func (b *retryBudget) allows(w *budgetWindow) bool {
	repeats, allowed := b.state(w)
	return float64(repeats+1) <= allowed
}
