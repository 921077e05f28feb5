package backend

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/mimosakeel/mimosakeel/hosting"
)

// Order sends an order to an engine at most once. check runs after the connection
// is established and immediately before the first byte is written; if it fails,
// nothing is sent. Check and write must end within OrderWriteLimit.
//
// If the engine rejects the fencing token of the order as stale, the error is a
// *hosting.StaleFenceError. With OutcomeUnknown the order may have taken effect or
// may still do so.
func (e *Engines) Order(ctx context.Context, baseURL string, order Order, check func() error) (OrderResult, hosting.Outcome, error) {
	var result OrderResult
	x := &exchange{readTimeout: orderReadTimeout, fresh: true, writeLimit: OrderWriteLimit, check: check}
	status, callErr := e.send(ctx, http.MethodPost, baseURL+"/v1/orders", order, &result, x)
	if callErr != nil {
		return result, orderOutcome(callErr), callErr
	}
	if status != http.StatusConflict {
		return result, hosting.OutcomeDone, nil
	}
	if result.Error == ErrorStaleFence {
		return result, hosting.OutcomeRefused, &hosting.StaleFenceError{Fence: result.Fence}
	}
	return result, hosting.OutcomeRefused, eris.Errorf("engine refused the order: %s", result.Error)
}

// orderOutcome returns OutcomeRefused if the order certainly did not run, and
// OutcomeUnknown otherwise.
func orderOutcome(e *CallError) hosting.Outcome {
	if !e.Written || e.Refused() {
		return hosting.OutcomeRefused
	}
	return hosting.OutcomeUnknown
}
