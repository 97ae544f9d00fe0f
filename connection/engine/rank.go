package engine

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
	"verbenaseam.example/verbenaseam/version/expertmap"
)

// rankTimeout is the time limit of the control API calls made by one method of RankClient.
// The State call within Switch has a limit of its own.
const rankTimeout = time.Second

// ErrGroupSizeUnknown means that the engine does not report the size of its group and
// so cannot be used as a rank.
var ErrGroupSizeUnknown = eris.New("engine reports no group size")

// RankClient implements expertmap.Engine over the control API of an engine, for one agent
// incarnation. It is not safe for concurrent use.
type RankClient struct {
	api *engineapi.Client
	// incarnation is the agent incarnation of the last successful Attach.
	incarnation uint64
	// groupIncarnation is the incarnation of the group that the engine reported at
	// that Attach.
	groupIncarnation string
}

// RankState is the state that an engine reports.
type RankState struct {
	State expertmap.EngineState
	// Loaded holds the maps that the engine can switch to.
	Loaded []expertmap.MapID
	// Agent is the incarnation of the attached agent.
	Agent uint64
}

// NewRankClient returns a RankClient that uses the control API of client.
func NewRankClient(client *Client) *RankClient { return &RankClient{api: client.ControlAPI()} }

// State requests the current state of the engine. It changes neither the engine nor
// the RankClient.
func (r *RankClient) State() (RankState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), rankTimeout)
	defer cancel()
	step, err := r.api.GetExpertStep(ctx)
	if err != nil {
		return RankState{}, err
	}
	return decodeState(step)
}

// Attach implements expertmap.Engine.
func (r *RankClient) Attach(incarnation uint64) (expertmap.EngineState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), rankTimeout)
	defer cancel()
	step, err := r.api.AttachAgent(ctx, &engineapi.AttachAgentReq{Agent: int64(incarnation)})
	if errorType(err) == engineapi.ErrorBodyTypeStaleAgent {
		return expertmap.EngineState{}, &expertmap.StaleAgentError{Incarnation: incarnation}
	}
	if err != nil {
		return expertmap.EngineState{}, err
	}
	state, err := decodeState(step)
	if err != nil {
		return expertmap.EngineState{}, err
	}
	r.incarnation, r.groupIncarnation = incarnation, step.GroupIncarnation
	return state.State, nil
}

// Hold implements expertmap.Engine.
func (r *RankClient) Hold(proposal expertmap.Proposal) (bool, error) {
	if proposal.Group != groupID(r.groupIncarnation) {
		return false, nil
	}
	hold, err := r.newHold(proposal)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rankTimeout)
	defer cancel()
	_, err = r.api.HoldExpertStep(ctx, hold)
	if errorType(err) == engineapi.ErrorBodyTypeRefused {
		return false, nil
	}
	return err == nil, err
}

// Release implements expertmap.Engine.
func (r *RankClient) Release(id expertmap.ProposalID) error {
	ctx, cancel := context.WithTimeout(context.Background(), rankTimeout)
	defer cancel()
	step, err := r.api.GetExpertStep(ctx)
	if err != nil {
		return err
	}
	held, err := decodeHold(step.Hold)
	if err != nil || held == nil || held.ID != id {
		return err
	}
	hold := step.Hold.Value
	hold.Agent = engineapi.NewOptInt64(int64(r.incarnation))
	_, err = r.api.ReleaseExpertStep(ctx, &hold)
	if errorType(err) == engineapi.ErrorBodyTypeRefused {
		// The hold ended between the two calls, so there is nothing to release.
		return nil
	}
	return err
}

// Switch implements expertmap.Engine. If the engine refuses, Switch checks whether an
// earlier call whose reply was lost took effect: the engine then reports the proposal
// as pending, or reports this or a later one as installed.
func (r *RankClient) Switch(proposal expertmap.Proposal) error {
	hold, err := r.newHold(proposal)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rankTimeout)
	defer cancel()
	_, err = r.api.SwitchExpertMap(ctx, hold)
	if errorType(err) != engineapi.ErrorBodyTypeRefused {
		return err
	}
	state, err := r.State()
	if err != nil {
		return err
	}
	pending := state.State.Pending
	if pending != nil && pending.ID == proposal.ID || !state.State.Installed.Less(proposal.ID) {
		return nil
	}
	return &expertmap.LateSwitchError{ID: proposal.ID, Started: state.State.Step}
}

// newHold returns the control API hold of a proposal.
func (r *RankClient) newHold(proposal expertmap.Proposal) (*engineapi.ExpertHold, error) {
	text, err := expertmap.EncodeProposal(proposal)
	if err != nil {
		return nil, err
	}
	return &engineapi.ExpertHold{
		GroupIncarnation: r.groupIncarnation,
		Step:             int64(proposal.Step),
		Version:          encodeMapID(proposal.To),
		Proposal:         engineapi.NewOptString(text),
		Agent:            engineapi.NewOptInt64(int64(r.incarnation)),
	}, nil
}

// decodeState converts the state reported by the engine.
func decodeState(step *engineapi.ExpertStep) (RankState, error) {
	size, known := step.Size.Get()
	if !known {
		return RankState{}, ErrGroupSizeUnknown
	}
	held, err := decodeHold(step.Hold)
	if err != nil {
		return RankState{}, err
	}
	pending, err := decodeHold(step.Pending)
	if err != nil {
		return RankState{}, err
	}
	state := RankState{Agent: uint64(step.Agent.Or(0))}
	state.State = expertmap.EngineState{
		Group: groupID(step.GroupIncarnation), Rank: step.Rank, Size: size,
		Step: uint64(step.Step), Running: decodeMapID(step.Version),
		Held: held, Pending: pending,
	}
	if text := step.Installed.Or(""); text != "" {
		installed, err := expertmap.DecodeProposal(text)
		if err != nil {
			return RankState{}, err
		}
		state.State.Installed = installed.ID
	}
	for _, number := range step.Loaded {
		state.Loaded = append(state.Loaded, decodeMapID(number))
	}
	return state, nil
}

// decodeHold returns the proposal that an agent stored in a hold, nil if there is no
// hold.
func decodeHold(hold engineapi.OptExpertHold) (*expertmap.Proposal, error) {
	value, present := hold.Get()
	if !present {
		return nil, nil
	}
	proposal, err := expertmap.DecodeProposal(value.Proposal.Or(""))
	if err != nil {
		return nil, err
	}
	return &proposal, nil
}

// errorType returns the type of an error that the engine reported, empty for any
// other error.
func errorType(err error) engineapi.ErrorBodyType {
	var failure *engineapi.FailureStatusCode
	if !errors.As(err, &failure) {
		return ""
	}
	return failure.Response.Type
}

// groupID returns the identifier of a group incarnation in proposals. The engine's
// incarnation is a text that is unique over all groups, so that its hash needs no name.
func groupID(incarnation string) expertmap.GroupID {
	return expertmap.GroupID{Incarnation: xxhash.Sum64String(incarnation)}
}

// epochShift is the position of the epoch in the engine's map number; the version is
// in the bits below it.
const epochShift = 32

// encodeMapID returns the number by which the engine identifies a map.
func encodeMapID(id expertmap.MapID) int64 { return int64(id.Epoch<<epochShift | id.Version) }

// decodeMapID is the inverse of encodeMapID.
func decodeMapID(number int64) expertmap.MapID {
	bits := uint64(number)
	return expertmap.MapID{Epoch: bits >> epochShift, Version: bits & (1<<epochShift - 1)}
}
