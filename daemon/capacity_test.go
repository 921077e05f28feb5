package daemon

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/claim"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/peer"
	"github.com/mimosakeel/mimosakeel/pool"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/schedule"
	"github.com/mimosakeel/mimosakeel/usage"
)

// These benchmarks measure the costs that docs/CAPACITY.md uses, the bytes and
// the processor time per message and record, each at several sizes.
//
//	go test ./daemon -run xxx -bench . -benchtime 2000x

func summaryOf(runners int) pool.Summary {
	s := pool.Summary{MaxOpen: 256}
	for i := range runners {
		s.Runners = append(s.Runners, pool.RunnerSummary{
			ID: fmt.Sprintf("fd-a-on_demand-%d", i), Role: backend.RoleMixed,
			Tokens: 10_000 + i, KV: 90_000 + i, KVTotal: 200_000, Open: 20,
		})
	}
	return s
}

// BenchmarkHeartbeat measures one heartbeat, by the number of runners in the
// pool that the sender schedules.
func BenchmarkHeartbeat(b *testing.B) {
	for _, runners := range []int{0, 8, 32} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			beat := &Heartbeat{Incarnation: "vm-123.mx8hrv48", ConfigVersion: 4_800, Seq: 100_000, Echo: 100_000}
			if runners > 0 {
				beat.Pools = []schedule.PoolSummary{{Pool: "pool/fd-a/model-12/0", Summary: summaryOf(runners)}}
				beat.Demand = []schedule.ModelDemand{{Model: "model-12", Prefill: 1e4, Decode: 1e4, PrefillRate: 1e4, DecodeRate: 1e4}}
			}
			measureMessage(b, beat, &Heartbeat{})
		})
	}
}

// BenchmarkEngineInfo measures the part of a heartbeat that lists engines, by
// the number of engines.
func BenchmarkEngineInfo(b *testing.B) {
	for _, engines := range []int{1, 9, 32} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			beat := &Heartbeat{Incarnation: "vm-123.mx8hrv48"}
			for i := range engines {
				beat.Engines = append(beat.Engines, EngineInfo{
					Engine: fmt.Sprintf("fd-a-on_demand-%d", i), Model: "model-12", Role: backend.RoleMixed, KVTotal: 200_000,
				})
			}
			measureMessage(b, beat, &Heartbeat{})
		})
	}
}

// BenchmarkGrantMessages measures a grant request, by the length of its prompt.
func BenchmarkGrantMessages(b *testing.B) {
	for _, blocks := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			request := pool.Request{ID: "zz9", Customer: "customer-1234", Weight: 1, PromptTokens: blocks * backend.PrefixBlockTokens, MaxTokens: 400}
			for i := range blocks {
				request.Blocks = append(request.Blocks, uint64(i)*0x9E3779B97F4A7C15)
			}
			measureMessage(b, schedule.NewGrantRequest("pool/fd-a/model-12/0", request), &schedule.GrantRequest{})
		})
	}
}

// BenchmarkProgress measures one progress report, by the number of the daemon's
// streams in the pool.
func BenchmarkProgress(b *testing.B) {
	for _, streams := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			report := &schedule.Progress{Pool: "pool/fd-a/model-12/0"}
			for i := range streams {
				report.Tickets = append(report.Tickets, schedule.TicketProgress{Ticket: pool.Ticket(1_800_000_000_000_000_000 + i), Tokens: 200, FirstToken: 3e8, BetweenTokens: 25e6})
			}
			measureMessage(b, report, &schedule.Progress{})
		})
	}
}

func measureMessage(b *testing.B, m, into peer.Message) {
	size := 0
	for b.Loop() {
		frame, err := peer.Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		if err := frame.Decode(into); err != nil {
			b.Fatal(err)
		}
		size = len(frame.Body)
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkUsageDelta measures the record of a delta and its fold, by the
// number of rows.
func BenchmarkUsageDelta(b *testing.B) {
	for _, rows := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			delta := usage.Delta{Incarnation: "vm-123.mx8hrv48", Seq: 1, Watermark: 1_800_000_000}
			for i := range rows {
				delta.Rows = append(delta.Rows, usage.Row{
					Customer: fmt.Sprintf("customer-%d", i), Resource: "model-12", Window: 1_800_000_000,
					Sum: usage.Sum{Requests: 3, TokensIn: 4000, TokensOut: 900},
				})
			}
			measureRecord(b, usageSubject, usage.KindDelta, record.EncodeBody(delta), usage.NewState(60))
		})
	}
}

func measureRecord(b *testing.B, subject string, kind record.Kind, body []byte, state record.State) {
	data := record.Encode(record.Envelope{
		Format: record.Format, ID: "vm-123.mx8hrv48/delta/123456", Kind: kind, Subject: subject,
		Prev: record.NoOffset, Seen: record.NoOffset, Author: "vm-123.mx8hrv48", Body: body,
	})
	stream := record.NewStream(0, func(string) record.State { return state })
	offset := int64(0)
	for b.Loop() {
		page := hosting.Page{Next: offset + 1, Records: []hosting.Record{{Offset: offset, Data: data}}}
		if _, err := stream.Apply(page); err != nil {
			b.Fatal(err)
		}
		offset++
	}
	b.ReportMetric(float64(len(data)), "bytes")
}

// BenchmarkServerList measures the size of the platform's list of backend
// servers and the time to decode it, by the number of servers.
func BenchmarkServerList(b *testing.B) {
	for _, servers := range []int{14, 290, 2900} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			var list []hosting.Server
			for i := range servers {
				list = append(list, hosting.Server{
					ID: fmt.Sprintf("fd-a-on_demand-%d", i), FailureDomain: "fd-a", Class: hosting.ClassOnDemand,
					Kind: hosting.KindEngine, URL: "http://10.20.30.40:8000", State: hosting.ServerLive, ChecksFence: true,
				})
			}
			data, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var got []hosting.Server
				if err := json.Unmarshal(data, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkClaimRecord measures the size of the record of a batch of claims, by
// the number of claims.
func BenchmarkClaimRecord(b *testing.B) {
	for _, claims := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = claimRecord(claims)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// claimRecord returns the size of the record with a batch of claims that
// arrived while an append was in progress.
func claimRecord(claims int) int {
	m := claim.NewMachine(claim.Config{}, "vm-123.mx8hrv48", 0, 0)
	m.Step(time0, claim.LogState{Up: true})
	var first claim.Append
	for i := range claims + 1 {
		request := claim.Request{Key: claim.Key{Customer: "customer-1234", Hash: [32]byte{byte(i)}}}
		for _, action := range m.Step(time0, claim.Asked{Ticket: uint64(i + 1), Request: request, Deadline: time0.Add(time.Minute)}) {
			first = action.(claim.Append)
		}
	}
	m.Step(time0, claim.AppendEnded{ID: first.ID, Result: claim.AppendDone})
	for _, action := range m.Step(time0.Add(time.Second), claim.Tick{}) {
		return len(action.(claim.Append).Data)
	}
	return 0
}
