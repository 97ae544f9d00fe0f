package engine

import (
	"context"
	"errors"
	"net/http"
	"time"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
)

// probeTokens is the length of a probe's answer in tokens.
const probeTokens = 2

// control implements the handlers of the engine API.
type control struct {
	engine *Engine
}

func (c *control) GetStatus(context.Context) (*engineapi.Status, error) {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.currentLoadLocked()
	if e.config.LoadLag > 0 {
		now := e.clock.Now()
		e.loadHistory.add(now, report)
		report = e.loadHistory.delayed(now)
	}
	return &engineapi.Status{
		Incarnation:   e.incarnation,
		Model:         e.model,
		Adapter:       e.adapter,
		Version:       e.version,
		Role:          e.role,
		Epoch:         e.epoch,
		Running:       report.running,
		Waiting:       report.waiting,
		KvUsedBlocks:  report.kvUsed,
		KvTotalBlocks: e.config.CacheBlocks,
		CacheHitRatio: report.hitRatio,
		InFlight:      append([]string{}, report.inFlight...),
	}, nil
}

func (c *control) ListInFlight(context.Context) (*engineapi.InFlight, error) {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	out := &engineapi.InFlight{Incarnation: e.incarnation, Requests: []engineapi.InFlightRequestsItem{}}
	for _, seq := range append(append([]*sequence{}, e.running...), e.waiting...) {
		out.Requests = append(out.Requests, engineapi.InFlightRequestsItem{
			ID: seq.id, Running: seq.state == stateRunning, Tokens: seq.produced,
		})
	}
	return out, nil
}

func (c *control) CancelRequest(_ context.Context, params engineapi.CancelRequestParams) (*engineapi.CancelRequestOK, error) {
	return &engineapi.CancelRequestOK{Found: c.engine.cancel(params.ID, ErrCancelled)}, nil
}

func (c *control) PlaceOrder(ctx context.Context, req *engineapi.EngineOrder, params engineapi.PlaceOrderParams) (*engineapi.EngineOrderResult, error) {
	e := c.engine
	if err := e.checkEpoch(params.XEpoch); err != nil {
		return nil, err
	}
	if e.config.LoadTime > 0 && req.Kind != engineapi.EngineOrderKindChangeRole {
		select {
		case <-e.clock.After(e.config.LoadTime):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return e.applyOrder(req, params.XEpoch)
}

// checkEpoch rejects a stale epoch unless the engine ignores fencing, and raises
// the highest epoch seen.
func (e *Engine) checkEpoch(epoch int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch < e.epoch && !e.config.IgnoreFencing {
		return ErrStaleEpoch
	}
	e.epoch = max(e.epoch, epoch)
	return nil
}

// applyOrder carries out the order; loading a model or a version leaves the
// engine cold. The epoch is checked again because it may have risen during
// LoadTime.
func (e *Engine) applyOrder(req *engineapi.EngineOrder, epoch int64) (*engineapi.EngineOrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch < e.epoch {
		if !e.config.IgnoreFencing {
			return nil, ErrStaleEpoch
		}
		e.counters.StaleOrders++
	}
	switch req.Kind {
	case engineapi.EngineOrderKindLoadModel:
		e.model = req.Value
		e.setColdLocked()
	case engineapi.EngineOrderKindLoadVersion:
		e.version = req.Value
		e.setColdLocked()
	case engineapi.EngineOrderKindLoadAdapter:
		e.adapter = req.Value
	case engineapi.EngineOrderKindChangeRole:
		e.role = req.Value
	}
	return &engineapi.EngineOrderResult{Epoch: e.epoch}, nil
}

// Probe measures the time to first token of a two-token request, which bypasses
// admission control.
func (c *control) Probe(ctx context.Context) (*engineapi.Probe, error) {
	e := c.engine
	seq := &sequence{prompt: "probe", tokens: Answer("probe", probeTokens), probe: true, priority: 1 << 30}
	start := e.clock.Now()
	if err := e.submit(seq); err != nil {
		return nil, err
	}
	for {
		progress := e.snapshot(seq)
		if progress.state == stateFailed {
			return nil, progress.err
		}
		if progress.produced > 0 {
			break
		}
		select {
		case <-progress.changed:
		case <-ctx.Done():
			e.cancel(seq.id, ErrCancelled)
			return nil, ctx.Err()
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	firstToken := seq.firstTokenAt.Sub(start)
	return &engineapi.Probe{
		Incarnation:  seq.incarnation,
		FirstTokenMs: float64(firstToken) / float64(time.Millisecond),
	}, nil
}

// NewError maps an error to an API error response.
func (c *control) NewError(_ context.Context, err error) *engineapi.FailureStatusCode {
	status, kind := http.StatusBadRequest, engineapi.ErrorBodyTypeBadRequest
	switch {
	case errors.Is(err, ErrStaleEpoch):
		status, kind = http.StatusConflict, engineapi.ErrorBodyTypeStaleEpoch
	case errors.Is(err, ErrStaleAgent):
		status, kind = http.StatusConflict, engineapi.ErrorBodyTypeStaleAgent
	case errors.Is(err, ErrStepStarted), errors.Is(err, ErrNotLoaded), errors.Is(err, ErrNoExperts),
		errors.Is(err, ErrHoldMismatch), errors.Is(err, ErrGroupMismatch):
		status, kind = http.StatusConflict, engineapi.ErrorBodyTypeRefused
	case errors.Is(err, ErrCrashed), errors.Is(err, ErrUnavailable), errors.Is(err, ErrQueueFull):
		status, kind = http.StatusServiceUnavailable, engineapi.ErrorBodyTypeUnavailable
	}
	return &engineapi.FailureStatusCode{
		StatusCode: status,
		Response:   engineapi.ErrorBody{Type: kind, Message: err.Error()},
	}
}
