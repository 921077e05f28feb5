package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/mimosakeel/mimosakeel/backend"
	"github.com/rotisserie/eris"
)

// Error codes of orders in addition to those of package backend.
const (
	errorMalformed    = "malformed"
	errorUnknownModel = "unknown_model"
	errorWeights      = "weights_unavailable"
)

const weightsTimeout = 5 * time.Second

// orderState is the state of an accepted order. result is valid after done is
// closed.
type orderState struct {
	done   chan struct{}
	result backend.OrderResult
}

// postOrder executes an order and answers when it has ended; a role change or
// model load takes seconds. A repeated order is not executed again and gets the
// result of the first.
func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var order backend.Order
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.ID == "" {
		writeJSON(w, http.StatusBadRequest, backend.OrderResult{Error: errorMalformed})
		return
	}
	if _, hit := s.faults.Take(FaultHang, string(order.Command)); hit {
		<-r.Context().Done()
		return
	}
	state, known := s.admitOrder(order)
	if state == nil {
		writeJSON(w, http.StatusConflict, backend.OrderResult{Error: backend.ErrorStaleFence, Fence: s.highestFence()})
		return
	}
	if !known {
		// The order continues if the client disconnects.
		go s.execute(order, state)
	}
	select {
	case <-state.done:
	case <-r.Context().Done():
		return
	case <-s.quit:
		panic(http.ErrAbortHandler)
	}
	if _, hit := s.faults.Take(FaultLoseAnswer, string(order.Command)); hit {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if state.result.Error != "" {
		status = http.StatusConflict
	}
	result := state.result
	result.Fence = s.highestFence()
	writeJSON(w, status, result)
}

// highestFence returns the highest accepted fencing token.
func (s *Server) highestFence() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence
}

// admitOrder checks the fencing token and records the order in the audit. It
// returns nil if the token is stale. known is true if an order with the same ID
// was accepted before.
func (s *Server) admitOrder(order backend.Order) (state *orderState, known bool) {
	_, ignore := s.faults.Take(FaultIgnoreFence, string(order.Command))
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := OrderEntry{Order: order, Highest: s.fence, Result: "accepted"}
	defer func() { s.audit.addOrder(entry) }()
	if order.Fence < s.fence && !ignore && !s.config.IgnoreFence {
		entry.Result = backend.ErrorStaleFence
		return nil, false
	}
	s.fence = max(s.fence, order.Fence)
	if state := s.orders[order.ID]; state != nil {
		entry.Repeated = true
		return state, true
	}
	state = &orderState{done: make(chan struct{})}
	s.orders[order.ID] = state
	entry.Aborted = s.countAborted(order)
	return state, false
}

// countAborted returns the number of requests that an order will abort. The
// caller holds the lock.
func (s *Server) countAborted(order backend.Order) int {
	load := s.core.CurrentLoad()
	drops := false
	switch order.Command {
	case backend.CommandSetRole:
		drops = order.Role != load.Role
	case backend.CommandLoad:
		drops = order.Adapter == "" && (order.Model != load.Model || (order.Version != "" && order.Version != load.Version))
	case backend.CommandUnload:
		drops = order.Adapter == "" && order.Model == load.Model
	}
	if !drops {
		return 0
	}
	return load.Running + load.Waiting
}

// execute runs an order and publishes its result in state.
func (s *Server) execute(order backend.Order, state *orderState) {
	failure := s.runCommand(order)
	if failure == "" {
		state.result.Result = backend.ResultDone
	} else {
		state.result.Error = failure
	}
	close(state.done)
}

// runCommand runs an order until it has ended and returns the error code, or an
// empty string on success.
func (s *Server) runCommand(order backend.Order) string {
	switch order.Command {
	case backend.CommandFence:
		return ""
	case backend.CommandDrain, backend.CommandUndrain:
		s.mu.Lock()
		s.core.SetDrain(s.now(), order.Command == backend.CommandDrain)
		s.mu.Unlock()
		return ""
	case backend.CommandUnload:
		return s.unload(order)
	case backend.CommandSetRole:
		if !slices.Contains([]backend.Role{backend.RoleMixed, backend.RolePrefill, backend.RoleDecode}, order.Role) {
			return errorMalformed
		}
		return s.runChange(order, func(key string) error { return s.core.SetRole(s.now(), key, order.Role) })
	case backend.CommandLoad:
		return s.load(order)
	default:
		return errorMalformed
	}
}

// refusalCode returns the error code of a refusal by the core, or an empty
// string if err is no RefusedError.
func refusalCode(err error) string {
	var refused RefusedError
	if errors.As(err, &refused) {
		return string(refused)
	}
	return ""
}

func (s *Server) unload(order backend.Order) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Adapter != "" {
		s.core.UnloadAdapter(s.now(), order.Adapter)
		return ""
	}
	err := s.core.UnloadModel(s.now(), order.Model)
	s.dispatchEvents()
	return refusalCode(err)
}

func (s *Server) load(order backend.Order) string {
	models := s.config.Engine.Models
	if len(models) > 0 && !slices.Contains(models, order.Model) {
		return errorUnknownModel
	}
	if err := s.fetchWeights(order.Model, order.Version); err != nil {
		return errorWeights
	}
	if order.Adapter != "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		return refusalCode(s.core.LoadAdapter(s.now(), order.Model, order.Adapter))
	}
	return s.runChange(order, func(key string) error {
		return s.core.LoadModel(s.now(), key, order.Model, order.Version)
	})
}

// fetchWeights requests a model from the weight store, which may refuse because
// of its rate limit. Only the status of the answer is used.
func (s *Server) fetchWeights(model, version string) error {
	if s.config.WeightsURL == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), weightsTimeout)
	defer cancel()
	target := s.config.WeightsURL + "/weights/" + url.PathEscape(model) + "?version=" + url.QueryEscape(version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return eris.Wrap(err, "weight store")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "weight store")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d", response.StatusCode)
	}
	return nil
}

// runChange starts a role change or model load in the core and waits for its
// end. It returns the error code, or an empty string on success.
func (s *Server) runChange(order backend.Order, start func(key string) error) string {
	s.mu.Lock()
	key := s.uniqueKey("order-" + order.ID)
	ended := make(chan struct{})
	s.signals[key] = ended
	err := start(key)
	if err != nil {
		delete(s.signals, key)
	}
	next := s.core.Next()
	s.dispatchEvents()
	s.mu.Unlock()
	if err != nil {
		return refusalCode(err)
	}
	s.wakeLoop()
	if _, hit := s.faults.Take(FaultCrashInChange, string(order.Command)); hit {
		s.crashAfter(max(0, s.untilReal(next)/2))
	}
	select {
	case <-ended:
		return ""
	case <-s.quit:
		return backend.ErrorBusy
	}
}

// crashAfter crashes the engine after a delay in real time.
func (s *Server) crashAfter(delay time.Duration) {
	time.AfterFunc(delay, func() {
		if s.config.Crash != nil {
			s.config.Crash()
		}
	})
}
