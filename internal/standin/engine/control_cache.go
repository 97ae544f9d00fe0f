package engine

import (
	"bytes"
	"context"
	"io"

	"github.com/fxamacker/cbor/v2"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
)

// kvBlockBytes is the content size of an exported block.
const kvBlockBytes = 1024

// maxKVImportBytes bounds the body of an import.
const maxKVImportBytes = 256 << 20

// kvPayload is the encoded body of an export and of an import.
type kvPayload struct {
	Blocks []kvBlock `cbor:"1,keyasint"`
}

type kvBlock struct {
	Name    string `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

func (c *control) ExportKV(_ context.Context, req *engineapi.ExportKVReq) (engineapi.ExportKVOK, error) {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	names := req.Blocks
	if len(names) == 0 {
		names = e.cache.blocks.Keys()
	}
	var out kvPayload
	for _, name := range names {
		if e.cache.blocks.Contains(name) {
			content := bytes.Repeat([]byte(name[:1]), kvBlockBytes)
			out.Blocks = append(out.Blocks, kvBlock{Name: name, Content: content})
		}
	}
	content, err := cbor.Marshal(out)
	return engineapi.ExportKVOK{Data: bytes.NewReader(content)}, err
}

func (c *control) ImportKV(_ context.Context, req engineapi.ImportKVReq) (*engineapi.ImportKVOK, error) {
	content, err := io.ReadAll(io.LimitReader(req, maxKVImportBytes))
	if err != nil {
		return nil, err
	}
	var in kvPayload
	if cbor.Unmarshal(content, &in) != nil {
		return nil, ErrMalformedKV
	}
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, block := range in.Blocks {
		if len(block.Content) != kvBlockBytes || block.Name == "" {
			return nil, ErrMalformedKV
		}
		e.cache.store(block.Name)
	}
	return &engineapi.ImportKVOK{Blocks: len(in.Blocks)}, nil
}

func (c *control) ListCacheEvents(_ context.Context, params engineapi.ListCacheEventsParams) (*engineapi.CacheEvents, error) {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	events, published := e.cache.publishedEvents(params.After, e.clock.Now().Add(-e.config.EventLag))
	out := &engineapi.CacheEvents{Incarnation: e.incarnation, Published: published, Events: []engineapi.CacheEvent{}}
	for _, event := range events {
		kind := engineapi.CacheEventKindStored
		if event.removed {
			kind = engineapi.CacheEventKindRemoved
		}
		out.Events = append(out.Events, engineapi.CacheEvent{Sequence: event.sequence, Kind: kind, Block: event.block})
	}
	return out, nil
}
