package cluster

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/record"
	"github.com/mimosakeel/mimosakeel/table"
)

// publishReadWait is how long one read waits for new records in the log.
const publishReadWait = 100 * time.Millisecond

// Publish publishes an edit of the latest table version in the log and waits
// until it is accepted. It returns the new version, or an error if the edit is
// not accepted.
func Publish(ctx context.Context, log hosting.Log, edit table.Edit, author, id string) (int64, error) {
	state := table.NewState()
	stream := record.NewStream(0, func(string) record.State { return state })
	chain := stream.Chain(table.Subject)
	page, err := log.Read(ctx, table.Stream, 0, maxPageRecords, 0)
	if err != nil {
		return 0, err
	}
	if _, err := stream.Apply(page); err != nil {
		return 0, err
	}
	p, err := table.NewPublisher(chain, state, edit, state.Version(), author, id, false)
	if err != nil {
		return 0, err
	}
	for p.Result() == table.Publishing {
		if err := publishPart(ctx, log, stream, p); err != nil {
			return 0, err
		}
	}
	if p.Result() != table.Published {
		return 0, eris.Errorf("edit %s was %s", id, p.Result())
	}
	return p.Version(), nil
}

// maxPageRecords bounds the number of records of one read.
const maxPageRecords = 10_000

// publishPart appends the next record of the edit and applies the decisions of
// one read.
func publishPart(ctx context.Context, log hosting.Log, stream *record.Stream, p *table.Publisher) error {
	e, _ := p.Next()
	if _, _, err := log.Append(ctx, table.Stream, record.Encode(e)); err != nil {
		return err
	}
	page, err := log.Read(ctx, table.Stream, stream.Next(), maxPageRecords, publishReadWait)
	if err != nil {
		return err
	}
	decisions, err := stream.Apply(page)
	for _, d := range decisions {
		p.Observe(d)
	}
	return err
}
