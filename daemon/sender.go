package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/mimosakeel/mimosakeel/hosting"
	"github.com/mimosakeel/mimosakeel/order"
)

// orderTimeout limits one order. It is long because role changes and model
// loads answer only when they are complete.
const orderTimeout = 30 * time.Second

// errAuthorityEnded is returned instead of writing an order after the end of
// the lease authority.
var errAuthorityEnded = eris.New("the lease has ended")

// orderSender writes orders to their targets, each on its own goroutine.
type orderSender struct {
	ctx     context.Context
	self    string
	engines *backend.Engines
	servers hosting.Servers
	events  *Recorder
}

// send writes one order and calls answer with its result.
func (s *orderSender) send(domain string, o order.Send, url string, answer func(order.AnswerResult)) {
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		defer cancel()
		check := func() error {
			if !time.Now().Before(o.AuthorityEnd) {
				return errAuthorityEnded
			}
			return nil
		}
		result, err := s.write(ctx, domain, o, url, check)
		s.events.orderSent(domain, o, result, err)
		answer(result)
	}()
}

func (s *orderSender) write(ctx context.Context, domain string, o order.Send, url string, check func() error) (order.AnswerResult, error) {
	if o.Target.Kind == order.TargetPlatform {
		return s.writePlatform(ctx, domain, o, check)
	}
	_, outcome, err := s.engines.Order(ctx, url, engineOrder(o, s.self), check)
	return answerResult(outcome, err), err
}

func engineOrder(o order.Send, sender string) backend.Order {
	return backend.Order{
		ID:      o.ID,
		Fence:   o.Fence,
		Command: backend.Command(o.Command.Name),
		Role:    backend.Role(o.Command.Role),
		Model:   o.Command.Model,
		Version: o.Command.Version,
		Adapter: o.Command.Adapter,
		Sender:  sender,
	}
}

func (s *orderSender) writePlatform(ctx context.Context, domain string, o order.Send, check func() error) (order.AnswerResult, error) {
	if err := check(); err != nil {
		return order.AnswerNotSent, err
	}
	outcome, err := s.servers.Order(ctx, domain, hosting.ServerOrder{
		ID:       o.ID,
		Fence:    o.Fence,
		OnDemand: o.Command.OnDemand,
		Cheap:    o.Command.Cheap,
		Sender:   s.self,
	})
	return answerResult(outcome, err), err
}

func answerResult(outcome hosting.Outcome, err error) order.AnswerResult {
	var stale *hosting.StaleFenceError
	var call *backend.CallError
	switch {
	case errors.As(err, &stale):
		return order.AnswerStale
	case errors.Is(err, errAuthorityEnded):
		return order.AnswerNotSent
	case errors.As(err, &call) && !call.Written:
		return order.AnswerNotSent
	case outcome == hosting.OutcomeDone:
		return order.AnswerDone
	case outcome == hosting.OutcomeRefused:
		return order.AnswerRefused
	}
	return order.AnswerUnknown
}
