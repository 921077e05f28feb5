package command

import (
	"context"
	"encoding/hex"
	"errors"
	"flag"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/settings"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	// readLimit is the maximum number of records of one read.
	readLimit = 500
	// pollWait is how long one read waits for new records.
	pollWait = 500 * time.Millisecond
	// idBytes is the length of the random part of an author's name.
	idBytes = 8
)

// errTrimmed reports that records were trimmed before they were read.
var errTrimmed = eris.New("the log was trimmed while it was read; run the command again")

// logFlags are the flags of commands that use the platform's log.
type logFlags struct {
	url      *string
	settings *string
	timeout  *time.Duration
}

func addLogFlags(flags *flag.FlagSet) logFlags {
	return logFlags{
		url:      flags.String("log", "", "base `URL` of the platform"),
		settings: flags.String("settings", "", "settings `file` to take the platform's URL from"),
		timeout:  flags.Duration("timeout", 30*time.Second, "time after which the command fails"),
	}
}

// open returns the log that the flags name.
func (f logFlags) open(env *Env) (hosting.Log, error) {
	if (*f.url == "") == (*f.settings == "") {
		return nil, usagef("exactly one of -log and -settings is needed")
	}
	if env.NewLog == nil {
		return nil, eris.New("this program is built without a client of the platform's log service")
	}
	if *f.url != "" {
		return env.NewLog(*f.url, env.HTTP), nil
	}
	s, err := settings.Load(*f.settings)
	if err != nil {
		return nil, err
	}
	return env.NewLog(s.Platform.URL, env.HTTP), nil
}

// configLog holds the table that results from the records of the config stream.
type configLog struct {
	log   hosting.Log
	chain *record.Chain
	state *table.State
	// next is the offset of the next record to read.
	next int64
	// author is the author of this process's records, unique to the process.
	author string
}

// openConfig reads the config stream to its end. If the log is trimmed, it starts
// at the first record that is left. operator becomes a part of the author.
func openConfig(ctx context.Context, env *Env, log hosting.Log, operator string) (*configLog, error) {
	id, err := env.randomBytes(idBytes)
	if err != nil {
		return nil, err
	}
	c := &configLog{log: log, author: "operator-" + operator + "-" + hex.EncodeToString(id)}
	c.resetTo(0)
	for {
		page, err := log.Read(ctx, table.Stream, c.next, readLimit, 0)
		var trimmed *hosting.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > c.next {
			c.resetTo(trimmed.First)
			continue
		}
		if err != nil {
			return nil, eris.Wrap(err, "read the log")
		}
		if _, err := c.apply(page.Records); err != nil {
			return nil, err
		}
		if len(page.Records) == 0 || c.next >= page.Next {
			return c, nil
		}
	}
}

func (c *configLog) resetTo(first int64) {
	c.state = table.NewState()
	c.chain = record.NewChain(table.Subject, c.state, first)
	c.next = first
}

// poll waits up to pollWait for new records and applies them. A failed read is no
// error: it returns no decisions, so that the caller polls again. An error means
// that the stream can't be read further or that ctx has ended.
func (c *configLog) poll(ctx context.Context) ([]record.Decision, error) {
	page, err := c.log.Read(ctx, table.Stream, c.next, readLimit, pollWait)
	var trimmed *hosting.TrimmedError
	if errors.As(err, &trimmed) {
		return nil, errTrimmed
	}
	if err != nil {
		return nil, sleep(ctx, pollWait)
	}
	return c.apply(page.Records)
}

func (c *configLog) apply(records []hosting.Record) ([]record.Decision, error) {
	var decisions []record.Decision
	for _, r := range records {
		if r.Offset < c.next {
			continue
		}
		if r.Offset > c.next {
			return decisions, eris.Errorf("the log skipped from offset %d to %d", c.next, r.Offset)
		}
		envelope, err := record.Decode(r.Data)
		if errors.Is(err, record.ErrNewerFormat) {
			return decisions, eris.Wrapf(err, "offset %d: install a newer version of this program", r.Offset)
		}
		c.next = r.Offset + 1
		if err == nil && envelope.Subject == table.Subject {
			decisions = append(decisions, c.chain.Apply(record.Entry{Offset: r.Offset, Envelope: envelope})...)
		}
		c.chain.Advance(c.next)
	}
	return decisions, nil
}

// awaitDecision polls until the record with the given id is decided.
func (c *configLog) awaitDecision(ctx context.Context, id string) (record.Decision, error) {
	for {
		decisions, err := c.poll(ctx)
		if err != nil {
			return record.Decision{}, err
		}
		for _, d := range decisions {
			if d.Entry.ID == id && d.Entry.Author == c.author {
				return d, nil
			}
		}
		if ctx.Err() != nil {
			return record.Decision{}, eris.Wrapf(ctx.Err(), "record %s is not in the log", id)
		}
	}
}

// awaitAnchor polls until the chain is anchored or the wait is over. Running out of
// time is no error.
func (c *configLog) awaitAnchor(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for !c.chain.Anchored() && ctx.Err() == nil {
		if _, err := c.poll(ctx); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}

// append appends a record once. It fails only if the log refuses the record. After
// an unknown outcome, the caller reads the log to find out.
func (c *configLog) append(ctx context.Context, e record.Envelope) error {
	_, outcome, err := c.log.Append(ctx, table.Stream, record.Encode(e))
	if outcome == hosting.OutcomeRefused {
		return eris.Wrap(err, "the log refused the record")
	}
	return nil
}

// sleep waits for d. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
