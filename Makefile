# Build, test and measure verbenaseam.
GO ?= go
BIN := bin

# Where the users' bench lies, and what of it platform-day plays.
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
		echo "platform-day: no bench at $(KIT); nothing was played"; \
	fi

generate:
	$(GO) generate ./api/...

# Tools for developers, built into bin/. gopls pins its own golang.org/x/tools, so it
# is not in go.mod; v0.24.0 needs a newer Go.
GOPLS ?= v0.23.0

tools:
	GOBIN=$(CURDIR)/$(BIN) $(GO) install golang.org/x/tools/gopls@$(GOPLS)
