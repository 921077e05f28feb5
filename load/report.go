package load

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of a good answer; see section 1.7 of the design.
const (
	FirstTokenLimit = 1200 * time.Millisecond
	// GapLimit is the limit of the 95th percentile of the times between the
	// tokens of one answer.
	GapLimit = 35 * time.Millisecond
	// gapQuantile is the quantile that GapLimit applies to.
	gapQuantile = 0.95
)

const (
	// The histograms hold microseconds up to ten minutes with three significant
	// digits.
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	maxProblems     = 20
)

// Counts holds the numbers of requests of one group by outcome.
type Counts struct {
	Requests int64 `json:"requests"`
	Whole    int64 `json:"whole"`
	// Good is the number of requests for which Result.Good is true, Late the
	// number of the other whole ones.
	Good        int64 `json:"good"`
	Late        int64 `json:"late"`
	Cut         int64 `json:"cut"`
	Wrong       int64 `json:"wrong"`
	Refused     int64 `json:"refused"`
	Errors      int64 `json:"errors"`
	LeftWaiting int64 `json:"left_waiting"`
	LeftReading int64 `json:"left_reading"`
	NotSent     int64 `json:"not_sent"`
	TokensOut   int64 `json:"tokens_out"`
	// GoodShare is Good divided by the requests whose clients didn't leave
	// during the answer.
	GoodShare float64 `json:"good_share"`
	// GoodPerSecond is the goodput over the planned duration.
	GoodPerSecond float64 `json:"good_per_second"`
}

// Quantiles summarizes a distribution of times in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is the result of a run.
type Report struct {
	Seed            uint64  `json:"seed"`
	PlannedSeconds  float64 `json:"planned_seconds"`
	ElapsedSeconds  float64 `json:"elapsed_seconds"`
	OfferedRequests int64   `json:"offered_requests"`

	Total      Counts             `json:"total"`
	ByKind     map[Kind]*Counts   `json:"by_kind"`
	ByCustomer map[string]*Counts `json:"by_customer"`
	// WorstCustomer is the customer with the lowest GoodShare.
	WorstCustomer string `json:"worst_customer"`
	// Refusals counts refusals by "STATUS CODE RUN".
	Refusals map[string]int64 `json:"refusals"`
	// Problems counts results by Result.Problem, for the first maxProblems
	// distinct texts.
	Problems map[string]int64 `json:"problems,omitempty"`

	FirstToken Quantiles `json:"first_token"`
	Gap        Quantiles `json:"gap"`
	Answer     Quantiles `json:"answer"`
	Service    Quantiles `json:"service"`
	// Decision is the time from sending a request to its refusal.
	Decision Quantiles `json:"refusal_decision"`
	// Lag is the generator's delay in sending; if it is high, the run is invalid.
	Lag Quantiles `json:"generator_lag"`

	workload                                        Workload
	firstToken, gap, answer, service, decision, lag *hdrhistogram.Histogram
}

// NewReport returns an empty report.
func NewReport(workload Workload) *Report {
	report := &Report{
		Seed:           workload.Seed,
		PlannedSeconds: workload.Duration.Seconds(),
		ByKind:         map[Kind]*Counts{},
		ByCustomer:     map[string]*Counts{},
		Refusals:       map[string]int64{},
		Problems:       map[string]int64{},
		workload:       workload,
	}
	for _, h := range []**hdrhistogram.Histogram{
		&report.firstToken, &report.gap, &report.answer, &report.service, &report.decision, &report.lag,
	} {
		*h = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	for _, customer := range workload.Customers {
		report.ByCustomer[customer.Name] = &Counts{}
	}
	return report
}

// Add counts one result.
func (r *Report) Add(result Result) {
	kind := r.ByKind[result.Arrival.Kind]
	if kind == nil {
		kind = &Counts{}
		r.ByKind[result.Arrival.Kind] = kind
	}
	customer := r.ByCustomer[r.workload.Customers[result.Arrival.Customer].Name]
	for _, counts := range []*Counts{&r.Total, kind, customer} {
		counts.add(result)
	}
	r.OfferedRequests++
	r.addTimes(result)
	if result.Outcome == OutcomeRefused {
		key := strconv.Itoa(result.Status) + " " + orNone(result.Code) + " " + orNone(result.Run)
		r.Refusals[key]++
	}
	if result.Problem == "" {
		return
	}
	if _, known := r.Problems[result.Problem]; known || len(r.Problems) < maxProblems {
		r.Problems[result.Problem]++
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func (r *Report) addTimes(result Result) {
	if result.Outcome == OutcomeNotSent {
		return
	}
	record(r.lag, result.Lag)
	if result.FirstToken > 0 {
		record(r.firstToken, result.FirstToken)
	}
	for _, gap := range result.Gaps {
		record(r.gap, gap)
	}
	switch {
	case result.Outcome == OutcomeRefused:
		record(r.decision, result.Decision)
	case result.Outcome != OutcomeWhole:
	case result.isService():
		record(r.service, result.Total)
	default:
		record(r.answer, result.Total)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values above the maximum are recorded as the maximum.
	_ = h.RecordValue(min(max(0, d.Microseconds()), histogramMax))
}

func (r Result) isService() bool {
	return r.Arrival.Kind == KindLookup || r.Arrival.Kind == KindStamp
}

// Good reports whether the answer is whole and within the latency limits. For a
// service call, FirstTokenLimit bounds the total time. An unstreamed answer has
// batch priority and no token times, so it has no latency limits.
func (r Result) Good() bool {
	if r.Outcome != OutcomeWhole {
		return false
	}
	if r.Arrival.Unstreamed {
		return true
	}
	if r.isService() {
		return r.Total <= FirstTokenLimit
	}
	return r.FirstToken <= FirstTokenLimit && quantile(r.Gaps, gapQuantile) <= GapLimit
}

// quantile returns the smallest of the values that is at least as large as a
// fraction q of them, or 0 without values.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[max(0, min(rank, len(sorted)-1))]
}

func (c *Counts) add(result Result) {
	c.Requests++
	c.TokensOut += int64(result.Tokens)
	switch result.Outcome {
	case OutcomeWhole:
		c.Whole++
		if result.Good() {
			c.Good++
		} else {
			c.Late++
		}
	case OutcomeCut:
		c.Cut++
	case OutcomeWrong:
		c.Wrong++
	case OutcomeRefused:
		c.Refused++
	case OutcomeError:
		c.Errors++
	case OutcomeLeftWaiting:
		c.LeftWaiting++
	case OutcomeLeftReading:
		c.LeftReading++
	case OutcomeNotSent:
		c.NotSent++
	}
}

// Finish computes shares, rates and quantiles after the last result. elapsed is
// the duration of the run.
func (r *Report) Finish(elapsed time.Duration) {
	r.ElapsedSeconds = elapsed.Seconds()
	all := []*Counts{&r.Total}
	for _, counts := range r.ByKind {
		all = append(all, counts)
	}
	for _, counts := range r.ByCustomer {
		all = append(all, counts)
	}
	for _, counts := range all {
		if counted := counts.Requests - counts.LeftReading; counted > 0 {
			counts.GoodShare = float64(counts.Good) / float64(counted)
		}
		if r.PlannedSeconds > 0 {
			counts.GoodPerSecond = float64(counts.Good) / r.PlannedSeconds
		}
	}
	r.WorstCustomer = r.worstCustomer()
	r.FirstToken = summary(r.firstToken)
	r.Gap = summary(r.gap)
	r.Answer = summary(r.answer)
	r.Service = summary(r.service)
	r.Decision = summary(r.decision)
	r.Lag = summary(r.lag)
}

// worstCustomer returns the customer with the lowest share of good answers, and
// the first by name among equals.
func (r *Report) worstCustomer() string {
	worst := ""
	for _, name := range slices.Sorted(maps.Keys(r.ByCustomer)) {
		counts := r.ByCustomer[name]
		if counts.Requests > 0 && (worst == "" || counts.GoodShare < r.ByCustomer[worst].GoodShare) {
			worst = name
		}
	}
	return worst
}

func summary(h *hdrhistogram.Histogram) Quantiles {
	ms := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}
