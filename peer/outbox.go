package peer

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// outboxSize is the maximum number of messages queued for one peer. All
	// messages sent through an outbox are soft state, so dropping them is safe.
	outboxSize = 512
	// outboxTimeout bounds the sending of one message, including the dial.
	outboxTimeout = 2 * time.Second
	// outboxIdleTimeout is the time without messages after which the goroutine and
	// the queue of an address are removed.
	outboxIdleTimeout = time.Minute
)

var messagesDropped = metrics.NewCounter("mimosakeel_peer_messages_dropped_total")

// Outboxes sends one-way messages without blocking the caller. Each address has
// one goroutine, which keeps the messages in order.
type Outboxes struct {
	ctx    context.Context
	node   *Node
	mu     sync.Mutex
	queues map[string]chan Message
}

// NewOutboxes returns outboxes whose goroutines end with the context.
func NewOutboxes(ctx context.Context, node *Node) *Outboxes {
	return &Outboxes{ctx: ctx, node: node, queues: map[string]chan Message{}}
}

// Send queues a message. It drops the message if the queue of the address is
// full.
func (o *Outboxes) Send(addr string, m Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue, ok := o.queues[addr]
	if !ok {
		queue = make(chan Message, outboxSize)
		o.queues[addr] = queue
		go o.run(addr, queue)
	}
	select {
	case queue <- m:
	default:
		messagesDropped.Inc()
	}
}

// run sends the queued messages of one address until the context ends or the
// queue is idle for outboxIdleTimeout.
func (o *Outboxes) run(addr string, queue chan Message) {
	idle := time.NewTimer(outboxIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case m := <-queue:
			o.deliver(addr, m)
			idle.Reset(outboxIdleTimeout)
		case <-idle.C:
			if o.retire(addr, queue) {
				return
			}
			idle.Reset(outboxIdleTimeout)
		}
	}
}

// retire removes the queue if it is empty and reports whether it did.
func (o *Outboxes) retire(addr string, queue chan Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(o.queues, addr)
	return true
}

func (o *Outboxes) deliver(addr string, m Message) {
	ctx, cancel := context.WithTimeout(o.ctx, outboxTimeout)
	defer cancel()
	if err := o.node.Send(ctx, addr, m); err != nil {
		messagesDropped.Inc()
	}
}
