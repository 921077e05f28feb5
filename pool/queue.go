package pool

// waitingRequest is a request that has no grant yet.
type waitingRequest struct {
	request Request
	// prompt is the length of the prompt, expected the expected length of the
	// answer, limit its maximum and kv the expected KV memory, all in tokens and
	// clamped. cost is charged to the customer, in tokens.
	prompt, expected, kv, limit int
	cost                        float64
	// virtualStart is the virtual start time, or the number of the arrival if fair
	// queueing is off.
	virtualStart float64
	urgency
	prev, next *waitingRequest
}

// customer is the fair queueing state of one customer, or of its requests of one
// required version.
type customer struct {
	name    string
	version string
	weight  float64
	open    int
	// answerRatio is the moving average of the share of MaxTokens that answers use.
	answerRatio float64
	class       [priorities]backlog
}

// backlog holds a customer's waiting requests of one priority in order of
// arrival.
type backlog struct {
	owner      *customer
	head, tail *waitingRequest
	count      int
	cost       float64
	// virtualFinish is the virtual finish time of the last request, in tokens per
	// weight.
	virtualFinish float64
	// heapIndex is the index in the heap, -1 if the backlog is not in it.
	heapIndex int
	// start is the virtual start time of the next request and lanes holds the waiting
	// requests, in the order by urgency only.
	start float64
	lanes [lanes]laneHeap
	// skippedAt is the number of the last dispatch in which no runner had room for
	// the customer's next request.
	skippedAt uint64
}

// fairQueue is a start-time fair queue for each priority: the waiting request
// with the lowest virtual start time is served next, and virtual time is the
// highest start time of the served requests.
//
// Invariant: heap and skipped hold exactly the backlogs with waiting requests,
// and cost and weight are the sums over them. skipped is empty outside dispatch.
type fairQueue struct {
	heap        [priorities][]*backlog
	virtualTime [priorities]float64
	cost        [priorities]float64
	weight      [priorities]float64
	count       int
	arrivals    float64
	fair        bool
	// catchUp is the amount by which a virtual start time may be before virtual
	// time, so that a customer can make up for unused share.
	catchUp float64
	// batchCredit is the work in tokens that batch requests may get before
	// interactive ones under the batch floor.
	batchCredit float64
	urgency     urgencyOrder
	// skipped holds the backlogs that are taken out of the heap during a dispatch
	// because no runner has room for their head.
	skipped []*backlog
}

// push adds a request at the end of its customer's backlog.
func (q *fairQueue) push(c *customer, w *waitingRequest) {
	class := w.request.Priority
	b := &c.class[class]
	q.arrivals++
	w.virtualStart = max(q.virtualTime[class]-q.catchUp, b.virtualFinish)
	if b.head != nil && q.ordered(class) {
		w.virtualStart = b.virtualFinish
	}
	b.virtualFinish = w.virtualStart + w.cost/c.weight
	if !q.fair {
		w.virtualStart = q.arrivals
	}
	if b.head == nil {
		b.head = w
		b.start = w.virtualStart
		q.insert(class, b)
		q.weight[class] += c.weight
	} else {
		b.tail.next, w.prev = w, b.tail
	}
	b.tail = w
	b.count++
	b.cost += w.cost
	q.cost[class] += w.cost
	q.count++
	w.owner, w.arrival = b, q.arrivals
	if q.ordered(class) {
		q.enterLane(w)
		q.updateStart(class, b)
	}
}

// take removes a request whose backlog is in the heap.
func (q *fairQueue) take(class Priority, w *waitingRequest) {
	b := w.owner
	q.unlink(class, w)
	switch {
	case b.head == nil:
		q.remove(class, b)
		q.subtractEmpty(class, b)
	case q.ordered(class):
		q.updateStart(class, b)
	default:
		q.siftDown(class, b.heapIndex)
	}
}

// unlink removes a request from its backlog and from the sums.
func (q *fairQueue) unlink(class Priority, w *waitingRequest) {
	b := w.owner
	if w.prev == nil {
		b.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		b.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
	b.count--
	b.cost -= w.cost
	q.cost[class] -= w.cost
	q.count--
	if q.ordered(class) {
		q.leaveLane(w)
	}
}

// subtractEmpty subtracts an empty backlog from the sums. The sums of a
// priority without backlogs are set to zero, so that rounding errors don't
// accumulate.
func (q *fairQueue) subtractEmpty(class Priority, b *backlog) {
	b.cost = 0
	q.weight[class] -= b.owner.weight
	if len(q.heap[class]) == 0 && len(q.skipped) == 0 {
		q.weight[class], q.cost[class] = 0, 0
	}
}

// recordServed updates virtual time and the batch floor's credit for a served
// request.
func (q *fairQueue) recordServed(w *waitingRequest, floor float64) {
	class := w.request.Priority
	if q.fair && !q.ordered(class) {
		q.virtualTime[class] = max(q.virtualTime[class], w.virtualStart)
	}
	switch {
	case class == Interactive && len(q.heap[Batch]) > 0:
		q.batchCredit += floor * w.cost
	case class == Interactive:
		// No credit accumulates while no batch work waits.
		q.batchCredit = min(q.batchCredit, 0)
	case len(q.heap[Interactive]) > 0:
		q.batchCredit -= (1 - floor) * w.cost
	}
}

// removeIf removes the waiting requests that match. The heap is rebuilt
// afterwards, because changing its order during the iteration would skip
// backlogs.
func (q *fairQueue) removeIf(match func(*waitingRequest) bool, recycle func(*waitingRequest)) {
	for class := range priorities {
		before := q.count
		for _, b := range q.heap[class] {
			q.filterBacklog(class, b, match, recycle)
		}
		if q.count != before {
			q.rebuild(class)
		}
	}
}

// filterBacklog removes the matching requests of one backlog.
func (q *fairQueue) filterBacklog(class Priority, b *backlog, match func(*waitingRequest) bool, recycle func(*waitingRequest)) {
	for w := b.head; w != nil; {
		next := w.next
		if match(w) {
			q.unlink(class, w)
			if q.ordered(class) {
				// The customer isn't charged for what was not served.
				b.virtualFinish = max(b.virtualFinish-w.cost/b.owner.weight, 0)
			}
			recycle(w)
		}
		w = next
	}
	if b.head != nil {
		b.start = b.virtualFinish - b.cost/b.owner.weight
	}
}

// rebuild drops empty backlogs from the heap and restores its order.
func (q *fairQueue) rebuild(class Priority) {
	old := q.heap[class]
	var empty []*backlog
	kept := old[:0]
	for _, b := range old {
		if b.head == nil {
			b.heapIndex = -1
			empty = append(empty, b)
			continue
		}
		b.heapIndex = len(kept)
		kept = append(kept, b)
	}
	clear(old[len(kept):])
	q.heap[class] = kept
	for _, b := range empty {
		q.subtractEmpty(class, b)
	}
	for i := len(kept)/2 - 1; i >= 0; i-- {
		q.siftDown(class, i)
	}
}

// insert adds a backlog to the heap.
func (q *fairQueue) insert(class Priority, b *backlog) {
	q.heap[class] = append(q.heap[class], b)
	b.heapIndex = len(q.heap[class]) - 1
	q.siftUp(class, b.heapIndex)
}

// remove takes a backlog out of the heap.
func (q *fairQueue) remove(class Priority, b *backlog) {
	h := q.heap[class]
	at, last := b.heapIndex, len(h)-1
	q.swap(class, at, last)
	h[last] = nil
	q.heap[class] = h[:last]
	b.heapIndex = -1
	if at < last {
		q.siftUp(class, at)
		q.siftDown(class, at)
	}
}

func (q *fairQueue) less(class Priority, i, j int) bool {
	if q.ordered(class) {
		return q.heap[class][i].start < q.heap[class][j].start
	}
	return q.heap[class][i].head.virtualStart < q.heap[class][j].head.virtualStart
}

func (q *fairQueue) swap(class Priority, i, j int) {
	h := q.heap[class]
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (q *fairQueue) siftUp(class Priority, i int) {
	for i > 0 && q.less(class, i, (i-1)/2) {
		q.swap(class, i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (q *fairQueue) siftDown(class Priority, i int) {
	for {
		child := 2*i + 1
		if child >= len(q.heap[class]) {
			return
		}
		if child+1 < len(q.heap[class]) && q.less(class, child+1, child) {
			child++
		}
		if !q.less(class, child, i) {
			return
		}
		q.swap(class, child, i)
		i = child
	}
}
