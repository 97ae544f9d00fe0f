package engine

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
)

// ExpertLoad is the expert load and capacity that an engine reports.
type ExpertLoad struct {
	// Report lacks Rank, Incarnation and Sequence; the caller sets them.
	Report placement.Report
	// Slots is the number of experts of each layer that fit into the memory of the
	// rank.
	Slots []int
	// ExpertBytes is the size of the weights of one expert in one layer.
	ExpertBytes int
}

// LoadMap loads an expert map into the engine, which can then switch to it.
func (c *Client) LoadMap(ctx context.Context, id expertmap.MapID, placed placement.Map) error {
	body := engineapi.ExpertMap{Layers: make([][][]engineapi.ExpertReplica, len(placed.Layers))}
	for layer, experts := range placed.Layers {
		body.Layers[layer] = make([][]engineapi.ExpertReplica, len(experts))
		for expert, replicas := range experts {
			for _, replica := range replicas {
				body.Layers[layer][expert] = append(body.Layers[layer][expert],
					engineapi.ExpertReplica{Rank: replica.Rank, Share: replica.Share})
			}
		}
	}
	params := engineapi.LoadExpertMapParams{Version: encodeMapID(id)}
	_, err := c.api.LoadExpertMap(ctx, engineapi.NewOptExpertMap(body), params)
	return err
}

// ReadMap returns the placement of an expert map that the engine has loaded.
func (c *Client) ReadMap(ctx context.Context, id expertmap.MapID) (placement.Map, error) {
	body, err := c.api.GetExpertMap(ctx, engineapi.GetExpertMapParams{Version: encodeMapID(id)})
	if err != nil {
		return placement.Map{}, err
	}
	placed := placement.Map{Layers: make([]placement.Layer, len(body.Layers))}
	for layer, experts := range body.Layers {
		placed.Layers[layer] = make(placement.Layer, len(experts))
		for expert, replicas := range experts {
			for _, replica := range replicas {
				placed.Layers[layer][expert] = append(placed.Layers[layer][expert],
					placement.Replica{Rank: replica.Rank, Share: replica.Share})
			}
		}
	}
	return placed, nil
}

// ReadExpertLoad requests the expert load and capacity from the engine.
func (c *Client) ReadExpertLoad(ctx context.Context) (ExpertLoad, error) {
	body, err := c.api.GetExpertLoad(ctx)
	if err != nil {
		return ExpertLoad{}, err
	}
	load := ExpertLoad{Slots: body.Slots, ExpertBytes: int(body.ExpertBytes)}
	load.Report = placement.Report{
		Steps: uint64(body.Steps), Computed: uint64(body.Computed), Busy: time.Duration(body.BusyNs),
	}
	for _, layer := range body.Routed {
		counts := make([]uint64, len(layer))
		for expert, count := range layer {
			counts[expert] = uint64(count)
		}
		load.Report.Routed = append(load.Report.Routed, counts)
	}
	return load, nil
}
