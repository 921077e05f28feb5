package daemon

import (
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/gateway"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/lease"
	"github.com/mimosakeel/mimosakeel/order"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/usage"
)

// Guards against the loss of usage at a planned stop: usage that was counted
// but not yet passed to the collector must still be appended to the log.
func TestStopFlushesCountedUsage(t *testing.T) {
	u := newUsageController(usage.Default(), lease.Identity{Incarnation: "vm-1.a", VM: "vm-1"}, time.Minute)
	appended := 0
	u.append = func(record.Envelope, func(appendResult)) { appended++ }
	u.totals.Add(gateway.UsageEntry{Customer: "acme", Resource: "m", Requests: 1})
	u.handle(time0, stopLeases{})
	if deltas, _ := u.collector.Unlogged(); deltas != 1 || appended != 1 || u.idle() {
		t.Errorf("%d deltas wait, %d were appended, idle %t", deltas, appended, u.idle())
	}
}

// Guards against a planned stop that never ends. Machines that are created
// after the stop was requested must release their leases too; this happens if
// the stop comes right after the start.
func TestStopRightAfterStartCompletes(t *testing.T) {
	self := lease.Identity{Incarnation: "vm-1.a", VM: "vm-1"}
	orders := newOrderController(order.Default(), self, true)
	counts := newUsageController(usage.Default(), self, time.Minute)
	var page hosting.Page
	counts.append = func(e record.Envelope, _ func(appendResult)) {
		page.Records = append(page.Records, hosting.Record{Offset: page.Next, Data: record.Encode(e)})
		page.Next++
	}
	orders.handle(time0, stopLeases{})
	counts.handle(time0, stopLeases{})
	orders.handle(time0, logPage{stream: controlStream, restarted: true, page: hosting.Page{}})
	counts.handle(time0, logPage{stream: usageStream, restarted: true, page: page})
	orders.handle(time0, vmsListed{[]hosting.VM{{ID: "vm-1", FailureDomain: "fd-a"}}})
	if len(orders.machines) != 1 || !orders.released() {
		t.Errorf("%d order machines, released %t", len(orders.machines), orders.released())
	}
	if counts.machine == nil || !counts.idle() {
		t.Errorf("usage machine %v, idle %t", counts.machine, counts.idle())
	}
}
