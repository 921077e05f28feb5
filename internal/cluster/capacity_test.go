package cluster

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mimosakeel/mimosakeel/settings"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	// settleTime is the time for leases, heartbeats and pollers to reach their
	// steady state before the measurement.
	settleTime  = 8 * time.Second
	measureTime = 10 * time.Second
)

// BenchmarkIdleDaemons measures the cost of the control plane per daemon without
// traffic, for several numbers of daemons: CPU time, bytes sent to peers, and
// heap and stack memory. All daemons and stand-ins share one process, so the CPU
// time includes the platform's stand-in and both ends of every connection.
//
//	go test ./internal/cluster -run '^$' -bench IdleDaemons -benchtime 1x -timeout 20m
func BenchmarkIdleDaemons(b *testing.B) {
	for _, daemons := range []int{4, 8, 16, 32} {
		runBenchmark(b, fmt.Sprintf("daemons=%d", daemons), idleSize{daemons: daemons, enginesPerDomain: 2, customers: 1})
	}
}

// BenchmarkIdleEngines measures the same cost for several numbers of engines.
func BenchmarkIdleEngines(b *testing.B) {
	for _, engines := range []int{1, 4, 8} {
		runBenchmark(b, fmt.Sprintf("engines=%d", engines*domainCount), idleSize{daemons: 8, enginesPerDomain: engines, customers: 1})
	}
}

// BenchmarkIdleCustomers measures the same cost for several numbers of customers
// in the table.
func BenchmarkIdleCustomers(b *testing.B) {
	for _, customers := range []int{8, 1000, 9300} {
		runBenchmark(b, fmt.Sprintf("customers=%d", customers), idleSize{daemons: 8, enginesPerDomain: 2, customers: customers})
	}
}

// domainCount is the number of failure domains in these benchmarks.
const domainCount = 4

type idleSize struct {
	daemons, enginesPerDomain, customers int
}

func runBenchmark(b *testing.B, name string, size idleSize) {
	b.Run(name, func(b *testing.B) {
		for b.Loop() {
			measureIdle(b, size)
		}
	})
}

// tableWithCustomers returns a table with the given number of customers.
func tableWithCustomers(customers int) table.Table {
	rows := testTable()
	for i := 1; i < customers; i++ {
		row := rows.Customers[0]
		row.Name = fmt.Sprintf("customer-%d", i)
		row.Keys = []table.KeyHash{table.HashKey(row.Name), table.HashKey(row.Name + "/2")}
		rows.Customers = append(rows.Customers, row)
	}
	return rows
}

func measureIdle(b *testing.B, size idleSize) {
	memoryBefore := memoryInUse()
	c, err := Start(Config{
		Daemons:          size.daemons,
		FailureDomains:   []string{"fd-a", "fd-b", "fd-c", "fd-d"},
		EnginesPerDomain: size.enginesPerDomain,
		Model:            "m",
		Version:          "1",
		TimeScale:        1,
		Adjust:           func(_ int, s *settings.Settings) { s.Process.DrainGrace = 0 },
	})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Stop()
	if _, err := Publish(b.Context(), c.Log(), table.Edit{Set: tableWithCustomers(size.customers)}, "bench", "edit-1"); err != nil {
		b.Fatal(err)
	}
	time.Sleep(settleTime)
	cpu, sent, records := cpuTime(), peerBytes(), c.logRecords(b)
	time.Sleep(measureTime)
	seconds := measureTime.Seconds()
	daemons := float64(size.daemons)
	b.ReportMetric((cpuTime()-cpu).Seconds()/seconds/daemons*100, "cpu%/daemon")
	b.ReportMetric(float64(peerBytes()-sent)/seconds/daemons/1024, "KB/s/daemon")
	b.ReportMetric(float64(memoryInUse()-memoryBefore)/daemons/(1<<20), "MB/daemon")
	b.ReportMetric(float64(c.logRecords(b)-records)/seconds, "appends/s")
	b.ReportMetric(0, "ns/op")
}

// cpuTime returns the user and system time of the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func peerBytes() uint64 {
	return metrics.GetOrCreateCounter("mimosakeel_peer_bytes_sent_total").Get()
}

// memoryInUse returns the bytes of heap and stack spans in use after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// logRecords returns the total number of records in the log streams that daemons
// append to while idle.
func (c *Cluster) logRecords(b *testing.B) int64 {
	total := int64(0)
	for _, stream := range []string{"config", "control", "usage"} {
		page, err := c.Log().Read(b.Context(), stream, 0, 1, 0)
		if err != nil {
			b.Fatal(err)
		}
		total += page.Next
	}
	return total
}
