package engine

import (
	"context"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
)

func (c *control) LoadExpertMap(_ context.Context, req engineapi.OptExpertMap, params engineapi.LoadExpertMapParams) (*engineapi.ExpertStep, error) {
	group := c.engine.group
	if body, given := req.Get(); given {
		group.SetExpertMap(params.Version, mapFromAPI(body))
	}
	return stateToAPI(group.LoadMap(c.engine.config.Rank, params.Version)), nil
}

func (c *control) GetExpertMap(_ context.Context, params engineapi.GetExpertMapParams) (*engineapi.ExpertMap, error) {
	experts, found := c.engine.group.ExpertMap(params.Version)
	if !found {
		return nil, ErrNotLoaded
	}
	return mapToAPI(experts), nil
}

func (c *control) GetExpertLoad(context.Context) (*engineapi.ExpertLoad, error) {
	load, experts, found := c.engine.group.ExpertLoad(c.engine.config.Rank)
	if !found {
		return nil, ErrNoExperts
	}
	out := &engineapi.ExpertLoad{
		Steps: load.Steps, Routed: load.Routed, Computed: load.Computed, BusyNs: load.Busy.Nanoseconds(),
		ExpertBytes: experts.ExpertBytes,
	}
	for range experts.TokensPerStep {
		out.Slots = append(out.Slots, experts.SlotsPerLayer)
	}
	return out, nil
}

func (c *control) GetExpertStep(context.Context) (*engineapi.ExpertStep, error) {
	return stateToAPI(c.engine.group.State(c.engine.config.Rank)), nil
}

func (c *control) HoldExpertStep(_ context.Context, req *engineapi.ExpertHold) (*engineapi.ExpertStep, error) {
	return c.changeHold(c.engine.group.holdLocked, req)
}

func (c *control) SwitchExpertMap(_ context.Context, req *engineapi.ExpertHold) (*engineapi.ExpertStep, error) {
	return c.changeHold(c.engine.group.switchLocked, req)
}

func (c *control) ReleaseExpertStep(_ context.Context, req *engineapi.ExpertHold) (*engineapi.ExpertStep, error) {
	return c.changeHold(c.engine.group.releaseLocked, req)
}

func (c *control) AttachAgent(_ context.Context, req *engineapi.AttachAgentReq) (*engineapi.ExpertStep, error) {
	state, err := c.engine.group.Attach(c.engine.config.Rank, req.Agent)
	if err != nil {
		return nil, err
	}
	return stateToAPI(state), nil
}

// changeHold runs a hold operation on the rank on behalf of the calling agent.
func (c *control) changeHold(operation holdOperation, req *engineapi.ExpertHold) (*engineapi.ExpertStep, error) {
	hold := Hold{
		Group: req.GroupIncarnation, Step: req.Step, Version: req.Version, Proposal: req.Proposal.Or(""),
	}
	state, err := c.engine.group.callAsAgent(c.engine.config.Rank, req.Agent.Or(0), operation, hold)
	if err != nil {
		return nil, err
	}
	return stateToAPI(state), nil
}

func mapFromAPI(in engineapi.ExpertMap) ExpertMap {
	out := make(ExpertMap, len(in.Layers))
	for layer, experts := range in.Layers {
		out[layer] = make([][]Replica, len(experts))
		for expert, replicas := range experts {
			for _, replica := range replicas {
				out[layer][expert] = append(out[layer][expert], Replica{Rank: replica.Rank, Share: replica.Share})
			}
		}
	}
	return out
}

func mapToAPI(in ExpertMap) *engineapi.ExpertMap {
	out := &engineapi.ExpertMap{Layers: make([][][]engineapi.ExpertReplica, len(in))}
	for layer, experts := range in {
		out.Layers[layer] = make([][]engineapi.ExpertReplica, len(experts))
		for expert, replicas := range experts {
			for _, replica := range replicas {
				out.Layers[layer][expert] = append(out.Layers[layer][expert],
					engineapi.ExpertReplica{Rank: replica.Rank, Share: replica.Share})
			}
		}
	}
	return out
}

func stateToAPI(state RankState) *engineapi.ExpertStep {
	return &engineapi.ExpertStep{
		Rank:             state.Rank,
		GroupIncarnation: state.Group,
		Step:             state.Step,
		Version:          state.Version,
		Loaded:           state.Loaded,
		Hold:             holdToAPI(state.Hold),
		Pending:          holdToAPI(state.Pending),
		Installed:        engineapi.NewOptString(state.Installed),
		Size:             engineapi.NewOptInt(state.Size),
		Agent:            engineapi.NewOptInt64(state.Agent),
	}
}

func holdToAPI(hold *Hold) engineapi.OptExpertHold {
	if hold == nil {
		return engineapi.OptExpertHold{}
	}
	return engineapi.NewOptExpertHold(engineapi.ExpertHold{
		GroupIncarnation: hold.Group,
		Step:             hold.Step,
		Version:          hold.Version,
		Proposal:         engineapi.NewOptString(hold.Proposal),
	})
}
