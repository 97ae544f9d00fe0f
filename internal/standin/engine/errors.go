package engine

import "github.com/rotisserie/eris"

// ErrCrashed means the engine's incarnation ended while it had the request.
var ErrCrashed = eris.New("engine crashed")

// ErrUnavailable means the engine is restarting or closed.
var ErrUnavailable = eris.New("engine is restarting or closed")

// ErrQueueFull means the engine's queue is full.
var ErrQueueFull = eris.New("engine queue is full")

// ErrCancelled means the request was cancelled.
var ErrCancelled = eris.New("request cancelled")

// ErrDeadline means the request's deadline passed.
var ErrDeadline = eris.New("request deadline passed")

// ErrUnknownStream means no stream with that id can be resumed.
var ErrUnknownStream = eris.New("no stream with this id can be resumed")

// ErrStaleEpoch means the order carried an epoch below the highest one seen.
var ErrStaleEpoch = eris.New("order epoch is below the highest epoch seen")

// ErrMalformedKV means the imported KV content cannot be decoded.
var ErrMalformedKV = eris.New("KV content is malformed")

// ErrStepStarted means the step to hold has already started on the old map.
var ErrStepStarted = eris.New("step has already started")

// ErrNotLoaded means the expert map is not loaded.
var ErrNotLoaded = eris.New("expert map is not loaded")

// ErrNoExperts means the engine's group has no experts configured.
var ErrNoExperts = eris.New("group has no experts configured")

// ErrHoldMismatch means that another hold is in force, that no hold is in force
// where one is needed, or that a switch is still pending.
var ErrHoldMismatch = eris.New("hold does not match the rank's hold or pending switch")

// ErrStaleAgent means that a later incarnation of the agent is attached.
var ErrStaleAgent = eris.New("a later agent incarnation is attached")

// ErrGroupMismatch means the call names another incarnation of the group.
var ErrGroupMismatch = eris.New("group incarnation does not match the current one")
