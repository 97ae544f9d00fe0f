//go:build tools

// Package tools pins the versions of modules shared by concurrently developed
// branches: its imports keep each module in go.mod.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/uuid"
	_ "github.com/gorilla/websocket"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/ogen-go/ogen"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/sirupsen/logrus"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/optimize/convex/lp"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
