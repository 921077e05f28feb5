package edge

import (
	"sync"
	"time"
)

// budgetBuckets is the number of buckets in the ring that covers a window.
const budgetBuckets = 20

// retryBudget limits the retries of requests, for each service. All daemons
// together may make ratio * requests + extra retries in any window. Each daemon
// counts only its own requests and takes an equal share of extra, so that the
// bound holds without communication.
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

// budgetWindow counts requests and retries in a ring of buckets. bucket is the
// number of the newest bucket since the Unix epoch.
type budgetWindow struct {
	bucket   int64
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
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

// set changes the limits. The counts are kept unless the window changes.
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

// advance moves the ring to a bucket and clears the buckets that it enters.
func (w *budgetWindow) advance(bucket int64) {
	for steps := min(bucket-w.bucket, budgetBuckets); steps > 0; steps-- {
		at := (bucket - steps + 1) % budgetBuckets
		w.requests[at], w.retries[at] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
}

// sums returns the counts of the window. The ring is up to one bucket longer
// than the window, so the oldest bucket counts for retries only: the bound errs
// on the strict side.
func (w *budgetWindow) sums() (requests, retries int) {
	oldest := int((w.bucket + 1) % budgetBuckets)
	for i := range budgetBuckets {
		if i != oldest {
			requests += w.requests[i]
		}
		retries += w.retries[i]
	}
	return requests, retries
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
	w.retries[w.bucket%budgetBuckets]++
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
	w.retries[w.bucket%budgetBuckets]++
}

// State implements dispatch.RetryBudget.
func (b *retryBudget) State(service string) (retries int, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(b.window(service))
}

func (b *retryBudget) state(w *budgetWindow) (retries int, allowed float64) {
	requests, retries := w.sums()
	return retries, b.ratio*float64(requests) + b.extra/float64(b.shares())
}

func (b *retryBudget) allows(w *budgetWindow) bool {
	retries, allowed := b.state(w)
	return float64(retries+1) <= allowed
}
