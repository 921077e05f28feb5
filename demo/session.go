package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/event"
	"github.com/mimosakeel/mimosakeel/internal/cluster"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	modelName   = "demo-model"
	daemonCount = 3
	// The keys of the demo's customers.
	officeSecret = "demo-secret-of-the-office"
	clerkSecret  = "demo-secret-of-the-clerk"
	lateSecret   = "demo-secret-added-later"

	pollInterval = 10 * time.Millisecond
	// timelineLines is the number of timeline lines to print.
	timelineLines = 12
)

// session runs the steps of the demo and collects the events of the daemons.
type session struct {
	out       io.Writer
	cluster   *cluster.Cluster
	eventLogs [daemonCount]*syncBuffer
	edits     int
}

// syncBuffer is a buffer with a Write that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// step is one step of the demo. run returns a text that describes the result.
type step struct {
	name string
	run  func(context.Context) (string, error)
}

func (s *session) run(ctx context.Context) error {
	for i := range s.eventLogs {
		s.eventLogs[i] = &syncBuffer{}
	}
	c, err := cluster.Start(cluster.Config{
		Daemons:          daemonCount,
		FailureDomains:   []string{"fd-a", "fd-b"},
		EnginesPerDomain: 2,
		Model:            modelName,
		Version:          "1",
		TimeScale:        1,
		Events:           func(i int) io.Writer { return s.eventLogs[i] },
	})
	if err != nil {
		return err
	}
	s.cluster = c
	defer c.Stop()
	fmt.Fprintf(s.out, "%d daemons, 4 engines, 1 plain service, 1 platform on loopback\n\n", daemonCount)
	for i, step := range s.steps() {
		result, err := step.run(ctx)
		if err != nil {
			return eris.Wrapf(err, "step %d, %s", i+1, step.name)
		}
		fmt.Fprintf(s.out, "%d. %s\n   %s\n", i+1, step.name, result)
	}
	return s.printTimeline()
}

func (s *session) steps() []step {
	return []step{
		{"publish the customer table", s.publishTable},
		{"whole chat answer", s.wholeAnswer},
		{"streamed chat answer", s.streamedAnswer},
		{"read from a plain service", s.readService},
		{"one stamp, sent through two daemons with the same Idempotency-Key", s.stampOnce},
		{"table edit: a new customer", s.addCustomer},
		{"key withdrawn during a stream", s.withdrawKey},
		{"engine killed during a stream", s.killEngine},
		{"daemon stopped as planned during a stream", s.stopDaemon},
	}
}

func (s *session) url(i int) string { return s.cluster.Daemons[i].URL }

func (s *session) publish(ctx context.Context, edit table.Edit) (time.Duration, error) {
	s.edits++
	start := time.Now()
	_, err := cluster.Publish(ctx, s.cluster.Log(), edit, "demo", fmt.Sprintf("demo-%d", s.edits))
	return time.Since(start), err
}

// waitForAll calls each daemon with a key until it answers with the status. It
// returns the time until all have done so.
func (s *session) waitForAll(ctx context.Context, secret string, status int) (time.Duration, error) {
	start := time.Now()
	for i := range s.cluster.Daemons {
		if err := s.waitForStatus(ctx, i, secret, status); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

func (s *session) waitForStatus(ctx context.Context, i int, secret string, status int) error {
	for {
		r, err := call(ctx, http.MethodGet, s.url(i)+"/v1/models", secret, nil)
		if err == nil && r.status == status {
			return nil
		}
		if err := pause(ctx); err != nil {
			return err
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pollInterval):
		return nil
	}
}

func customer(name, secret string) table.Customer {
	return table.Customer{
		Name: name, Weight: 1, RequestsPerSecond: 100, Burst: 100, Concurrency: 50, TokensPerMinute: 1_000_000,
		Keys: []table.KeyHash{table.HashKey(secret)}, Models: []string{modelName}, Services: []string{"stamps"},
	}
}

func (s *session) events() ([]event.Event, error) {
	var sources []event.Source
	for i, log := range s.eventLogs {
		log.mu.Lock()
		data := bytes.NewReader(bytes.Clone(log.data.Bytes()))
		log.mu.Unlock()
		sources = append(sources, event.Source{Name: fmt.Sprintf("vm-%d", i+1), Reader: data})
	}
	events, problems := event.Merge(sources...)
	if len(problems) > 0 {
		return nil, problems[0]
	}
	return events, nil
}

func (s *session) printTimeline() error {
	events, err := s.events()
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "\ntimeline of %d events from %d daemons; the last ones:\n", len(events), daemonCount)
	var text bytes.Buffer
	if err := event.WriteText(&text, events[max(0, len(events)-timelineLines):]); err != nil {
		return err
	}
	fmt.Fprint(s.out, strings.TrimRight(text.String(), "\n")+"\n")
	return nil
}

func (s *session) writeHTML(w io.Writer) error {
	events, err := s.events()
	if err != nil {
		return err
	}
	return event.WriteHTML(w, events)
}
