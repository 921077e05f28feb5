package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/table"
)

const (
	// resendAfter is how long an append may stay undecided before the same record
	// is appended again; at most one copy can be accepted.
	resendAfter = 3 * time.Second
	// anchorWait is how long publish waits for a daemon's checkpoint.
	anchorWait = 10 * time.Second
)

// ConflictError reports an edit that was rejected because a concurrent one was
// accepted first.
type ConflictError struct {
	// Winner is the record that was accepted first.
	Winner record.Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("not published: the %s of %s at offset %d was accepted first; run `table show`, repeat the change and publish again",
		e.Winner.Kind, e.Winner.Author, e.Winner.Offset)
}

// editPublisher publishes edits of the table.
type editPublisher struct {
	env       *Env
	config    *configLog
	force     bool
	resetWait time.Duration
}

// publish appends an edit to the log and waits until it is accepted or rejected.
// base is the version that the edit is based on. Among its errors are
// *ConflictError, table.ErrStaleBase, table.ErrInvalid and table.ErrLockout.
func (p *editPublisher) publish(ctx context.Context, edit table.Edit, base int64) error {
	id := p.config.author + "/edit"
	publisher, err := table.NewPublisher(p.config.chain, p.config.state, edit, base, p.config.author, id, p.force)
	if err != nil {
		return err
	}
	sent := ""
	for {
		envelope, more := publisher.Next()
		if !more {
			return p.reportResult(publisher)
		}
		err := p.config.append(ctx, envelope)
		// If the log refuses a second copy, the first one may still be accepted.
		if err != nil && sent != envelope.ID {
			return err
		}
		sent = envelope.ID
		if err := p.awaitDecision(ctx, publisher, envelope.ID); err != nil {
			return eris.Wrapf(err, "unknown whether the edit was accepted; it still may be: run `table show`")
		}
	}
}

// awaitDecision polls until the record is decided or must be appended again.
func (p *editPublisher) awaitDecision(ctx context.Context, publisher *table.Publisher, id string) error {
	resendAt := time.Now().Add(resendAfter)
	for time.Now().Before(resendAt) {
		decisions, err := p.config.poll(ctx)
		if err != nil {
			return err
		}
		for _, d := range decisions {
			publisher.Observe(d)
		}
		if next, more := publisher.Next(); !more || next.ID != id {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

// reportResult prints the published version or returns why there is none.
func (p *editPublisher) reportResult(publisher *table.Publisher) error {
	switch publisher.Result() {
	case table.Published:
		p.env.printf("published version %d\n", publisher.Version())
		return nil
	case table.Lost:
		return &ConflictError{publisher.Winner()}
	default:
		return eris.Errorf("not published: result %v", publisher.Result())
	}
}

// ensureAnchored makes sure that the chain's head and state are known. If the log
// is trimmed, it asks the daemons for a checkpoint.
func (p *editPublisher) ensureAnchored(ctx context.Context) error {
	if p.config.chain.Anchored() {
		return nil
	}
	request := table.AnchorRequest(p.config.author, p.config.author+"/anchor")
	if err := p.config.append(ctx, request); err != nil {
		return err
	}
	if err := p.config.awaitAnchor(ctx, anchorWait); err != nil {
		return err
	}
	if !p.config.chain.Anchored() {
		return eris.Wrap(table.ErrNotAnchored, "no daemon answered with a checkpoint; if no daemon knows the table any more, publish a complete table with -reset")
	}
	return nil
}

// reset restarts the chain with a genesis record if no daemon knows the table any
// more. It returns the base version for publishing the complete table.
func (p *editPublisher) reset(ctx context.Context) (int64, error) {
	if p.config.chain.Anchored() {
		return 0, eris.New("the table is still known: publish without -reset")
	}
	request, err := p.appendAndAwait(ctx, table.AnchorRequest(p.config.author, p.config.author+"/anchor"))
	if err != nil {
		return 0, err
	}
	p.env.printf("waiting %s for a daemon that knows the table\n", p.resetWait)
	if err := p.config.awaitAnchor(ctx, p.resetWait); err != nil {
		return 0, err
	}
	if p.config.chain.Anchored() {
		return 0, eris.New("a daemon still knows the table: publish without -reset")
	}
	now := p.env.Now().UnixMilli()
	genesis, err := p.appendAndAwait(ctx, table.Genesis(p.config.author, p.config.author+"/genesis", request.Entry.Offset, now))
	if err != nil {
		return 0, err
	}
	if genesis.Verdict != record.Accepted {
		return 0, eris.Errorf("the genesis record is %v: another operator or daemon was first; run `table show`", genesis.Verdict)
	}
	return genesis.Entry.Offset, nil
}

// appendAndAwait appends a record and waits for the chain's decision on it.
func (p *editPublisher) appendAndAwait(ctx context.Context, e record.Envelope) (record.Decision, error) {
	if err := p.config.append(ctx, e); err != nil {
		return record.Decision{}, err
	}
	return p.config.awaitDecision(ctx, e.ID)
}

// operatorName replaces the characters of a name that are not allowed in an
// author.
func operatorName(name string) string {
	safe := strings.Map(func(r rune) rune {
		if r == '-' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
	if safe == "" {
		return "unnamed"
	}
	return safe
}
