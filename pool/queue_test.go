package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against requests of a dead entry daemon that stay in the queue because
// the heap changed its order during their removal.
func TestRemovalReachesAllBacklogs(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 8))
	for range 50 {
		p := New(DefaultConfig(), 0)
		for i := range 400 {
			r := Request{
				Customer: fmt.Sprint(random.IntN(150)), Entry: fmt.Sprint(random.IntN(2)),
				PromptTokens: 1 + random.IntN(5000), MaxTokens: 10, ID: fmt.Sprint(i),
			}
			c := p.customer(&Request{Customer: r.Customer, Weight: 1})
			// Different finish times give the heads different start times.
			c.class[Interactive].virtualFinish += float64(random.IntN(5000))
			p.queue.push(c, p.newWaiting(&r, c))
		}
		p.entryGone(startTime, "0")
		checkCounts(t, p)
		for class := range priorities {
			for i, b := range p.queue.heap[class] {
				g.Expect(i == 0 || !p.queue.less(class, i, (i-1)/2)).To(BeTrue(), "heap order")
				for w := b.head; w != nil; w = w.next {
					g.Expect(w.request.Entry).To(Equal("1"))
				}
			}
		}
		p.entryGone(startTime, "1")
		g.Expect(p.Waiting()).To(BeZero())
	}
}
