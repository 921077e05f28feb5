package load

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/internal/distance"
)

// DefaultMaxOpen is the default limit of open requests.
const DefaultMaxOpen = 20_000

// DefaultSilence is the default idle timeout of a request. Streams carry a
// heartbeat each second.
const DefaultSilence = 30 * time.Second

// Options configures a run.
type Options struct {
	// URLs are the base URLs of the entry VMs; requests use them in turn.
	URLs    []string
	Profile Profile
	// MaxOpen limits the open requests; further ones are counted as not sent. 0
	// means DefaultMaxOpen.
	MaxOpen int
	// Silence is the idle timeout: the time without any data after which a
	// request is canceled. It is four times as long for unstreamed answers. 0
	// means DefaultSilence.
	Silence time.Duration
	// Observe is called for each result, from one goroutine. It may be nil.
	Observe func(Result)
}

// Run sends a workload in real time and returns the report. Cancelling ctx
// stops the arrivals and cancels open requests.
func Run(ctx context.Context, workload Workload, options Options) (*Report, error) {
	arrivals, err := workload.Arrivals()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         distance.DialContext(2 * options.Profile.ToClients),
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	silence := options.Silence
	if silence <= 0 {
		silence = DefaultSilence
	}
	start := time.Now()
	var clients []*client
	for _, url := range options.URLs {
		clients = append(clients, &client{
			base:        strings.TrimRight(url, "/"),
			http:        &http.Client{Transport: transport},
			workload:    workload,
			start:       start,
			idleTimeout: silence,
			// Idempotency keys must differ between runs.
			run: strconv.FormatInt(start.UnixMilli(), 36),
		})
	}
	report := NewReport(workload)
	results := make(chan Result, 1024)
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for result := range results {
			report.Add(result)
			if options.Observe != nil {
				options.Observe(result)
			}
		}
	}()
	sendAll(ctx, clients, arrivals, options.MaxOpen, results)
	close(results)
	<-collected
	report.Finish(time.Since(start))
	return report, nil
}

// sendAll sends each request at its planned time, whether or not earlier ones
// have been answered, and waits until all have ended.
func sendAll(ctx context.Context, clients []*client, arrivals []Arrival, maxOpen int, results chan<- Result) {
	if maxOpen <= 0 {
		maxOpen = DefaultMaxOpen
	}
	slots := make(chan struct{}, maxOpen)
	var open sync.WaitGroup
	defer open.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, arrival := range arrivals {
		client := clients[i%len(clients)]
		timer.Reset(time.Until(client.start.Add(arrival.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			results <- Result{Arrival: arrival, Outcome: OutcomeNotSent}
			continue
		}
		open.Go(func() {
			results <- client.do(ctx, arrival)
			<-slots
		})
	}
}
