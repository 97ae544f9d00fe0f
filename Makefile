# Build, test and measure verbenaseam.
GO ?= go
BIN := bin

# KIT is the directory of the users' test bench, fleetbench. SITE and DAY select what
# platform-day runs on it.
KIT ?= ../given/kit/more/system
SITE ?= petal-dry
DAY ?= quiet-1

.PHONY: all build test demo bench lint fuzz generate faults platform-day tools

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	$(GO) test ./...

demo: build
	$(BIN)/verbenaseam demo

bench:
	$(GO) run ./internal/benchtable

lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

fuzz:
	sh scripts/fuzz.sh 400000

faults:
	sh scripts/check-faults.sh

platform-day:
	@if [ -x $(KIT)/bin/fleetbench ]; then \
		$(KIT)/bin/fleetbench run $(KIT)/sites/$(SITE).toml $(DAY); \
	else \
		echo "platform-day: $(KIT)/bin/fleetbench not found; nothing was run"; \
	fi

generate:
	$(GO) generate ./api/...

# Developer tools, installed into bin/. gopls is not in go.mod because it pins its own
# golang.org/x/tools. v0.24.0 requires a newer Go release.
GOPLS ?= v0.23.0

tools:
	GOBIN=$(CURDIR)/$(BIN) $(GO) install golang.org/x/tools/gopls@$(GOPLS)
