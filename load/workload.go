package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	// KindInteractive is a model request that a client waits for.
	KindInteractive Kind = "interactive"
	// KindBatch is a model request that may be delayed.
	KindBatch Kind = "batch"
	// KindLookup is an idempotent call of a plain service.
	KindLookup Kind = "lookup"
	// KindStamp is a non-idempotent call of a plain service.
	KindStamp Kind = "stamp"
)

// Customer is a customer whose clients send requests.
type Customer struct {
	Name string
	// Key is the secret sent with each request; none if empty.
	Key string
	// Share is the customer's weight in the load relative to the others.
	Share float64
}

// Lengths is a log-normal distribution of token counts, limited to 1 to Max.
type Lengths struct {
	Median float64
	// Sigma is the standard deviation of the logarithm; 1 makes the 99th
	// percentile ten times the median.
	Sigma float64
	Max   int
}

func (l Lengths) sample(random *rand.Rand) int {
	tokens := l.Median * math.Exp(l.Sigma*random.NormFloat64())
	return max(1, min(int(tokens), l.Max))
}

// Phase sets the length distributions and the rate from a time on.
type Phase struct {
	From           time.Duration
	Prompt, Output Lengths
	// RateFactor multiplies the rate of the workload; 0 means 1.
	RateFactor float64
}

// Workload describes the load. Equal workloads generate equal arrivals.
type Workload struct {
	Seed uint64
	// Rate is the number of requests per second.
	Rate     float64
	Duration time.Duration
	Model    string
	// Phases are ordered by From; the first one starts at 0.
	Phases    []Phase
	Customers []Customer

	// Prefixes is the number of shared prompt prefixes of each customer. The k-th
	// is chosen with a probability proportional to 1/k.
	Prefixes int
	// PrefixTokens is the length of a shared prefix in tokens.
	PrefixTokens int
	// PrefixShare is the fraction of the model requests with a shared prefix.
	PrefixShare float64

	// BatchShare is the fraction of the model requests with batch priority.
	BatchShare float64
	// UnstreamedShare is the fraction of the batch requests that are not
	// streamed.
	UnstreamedShare float64
	// Patience is the time without a first token after which a client cancels an
	// interactive request; 0 means never.
	Patience time.Duration
	// Deadline is the first-token deadline that interactive requests carry; 0
	// means none.
	Deadline time.Duration
	// LeaveShare is the fraction of the streamed requests that their clients
	// cancel during the answer.
	LeaveShare float64

	// Service is the plain service that is called; empty means none.
	Service string
	// ServiceShare is the fraction of the requests that call the service.
	ServiceShare float64
	// StampShare is the fraction of the service calls that are stamps.
	StampShare float64
}

// Arrival is one planned request.
type Arrival struct {
	// Number counts the arrivals from 0.
	Number int
	// At is the time since the start at which the client sends the request.
	At       time.Duration
	Kind     Kind
	Customer int
	// Prefix is the index of the shared prefix, or -1 for none.
	Prefix       int
	PromptTokens int
	OutputTokens int
	// Unstreamed requests the answer as one body instead of a stream.
	Unstreamed bool
	// LeaveAfter is the number of tokens after which the client cancels the
	// request; 0 means that it doesn't.
	LeaveAfter int
	// Patience is the time without a first token after which the client cancels
	// the request; 0 means never.
	Patience time.Duration
}

// Arrivals returns the requests in time order. Their times form a Poisson
// process and don't depend on the answers (open loop).
func (w Workload) Arrivals() ([]Arrival, error) {
	if err := w.validate(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(w.Seed, 0))
	var arrivals []Arrival
	for at := time.Duration(0); ; {
		phase := w.phaseAt(at)
		rate := w.Rate * phase.RateFactor
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= w.Duration {
			return arrivals, nil
		}
		arrival := w.sampleArrival(random, w.phaseAt(at))
		arrival.Number, arrival.At = len(arrivals), at
		arrivals = append(arrivals, arrival)
	}
}

func (w Workload) validate() error {
	switch {
	case w.Rate <= 0:
		return eris.New("workload: rate must be positive")
	case len(w.Customers) == 0:
		return eris.New("workload: no customers")
	case len(w.Phases) == 0 || w.Phases[0].From != 0:
		return eris.New("workload: the first phase must start at 0")
	case w.ServiceShare > 0 && w.Service == "":
		return eris.New("workload: service share without a service")
	}
	for _, customer := range w.Customers {
		if customer.Share <= 0 {
			return eris.Errorf("workload: share of customer %q must be positive", customer.Name)
		}
	}
	return nil
}

func (w Workload) phaseAt(at time.Duration) Phase {
	current := w.Phases[0]
	for _, phase := range w.Phases {
		if phase.From <= at {
			current = phase
		}
	}
	if current.RateFactor <= 0 {
		current.RateFactor = 1
	}
	return current
}

func (w Workload) sampleArrival(random *rand.Rand, phase Phase) Arrival {
	arrival := Arrival{Customer: w.sampleCustomer(random), Prefix: -1}
	if random.Float64() < w.ServiceShare {
		arrival.Kind = KindLookup
		if random.Float64() < w.StampShare {
			arrival.Kind = KindStamp
		}
		return arrival
	}
	arrival.Kind, arrival.Patience = KindInteractive, w.Patience
	if random.Float64() < w.BatchShare {
		arrival.Kind, arrival.Patience = KindBatch, 0
	}
	arrival.PromptTokens = max(minPromptTokens, phase.Prompt.sample(random))
	arrival.OutputTokens = phase.Output.sample(random)
	if w.Prefixes > 0 && random.Float64() < w.PrefixShare {
		arrival.Prefix = zipf(random, w.Prefixes)
		arrival.PromptTokens += w.PrefixTokens
	}
	if arrival.Kind == KindBatch && random.Float64() < w.UnstreamedShare {
		arrival.Unstreamed = true
		return arrival
	}
	if random.Float64() < w.LeaveShare {
		arrival.LeaveAfter = 1 + random.IntN(arrival.OutputTokens)
	}
	return arrival
}

func (w Workload) sampleCustomer(random *rand.Rand) int {
	total := 0.0
	for _, customer := range w.Customers {
		total += customer.Share
	}
	point := random.Float64() * total
	for i, customer := range w.Customers {
		point -= customer.Share
		if point < 0 {
			return i
		}
	}
	return len(w.Customers) - 1
}

// zipf returns a random k from 0 to n-1 with probability proportional to
// 1/(k+1).
func zipf(random *rand.Rand, n int) int {
	total := 0.0
	for k := range n {
		total += 1 / float64(k+1)
	}
	point := random.Float64() * total
	for k := range n {
		point -= 1 / float64(k+1)
		if point < 0 {
			return k
		}
	}
	return n - 1
}
