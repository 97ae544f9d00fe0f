# Build, test and measure verbenaseam.
GO ?= go
BIN := bin

# KIT is the directory of the users' test bench, BENCH the bench itself, fleetbench. SITE
# and DAY select what platform-day runs on it, BENCH_SITES what bench-sites plays.
KIT ?= ../given/kit/more/system
BENCH ?= $(KIT)/more/bench-d17393/bin/fleetbench
BENCH_SITES ?= further/vrwa-pumps further-grown/vrwa-pumps-grown large/petal-dry-large \
	grown/petal-dry-grown grown/kbcc-lakes-grown
JOBS ?= 3
SITE ?= petal-dry
DAY ?= quiet-1

.PHONY: all build test demo bench lint fuzz generate faults platform-day bench-sites soak tools

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
	@if [ -x $(BENCH) ]; then \
		$(BENCH) run $(KIT)/sites/$(SITE).toml $(DAY); \
	else \
		echo "platform-day: $(BENCH) not found; nothing was run"; \
	fi

# bench-sites plays some days of each deployment in the regression runs. The bench
# compares each score with the one in the last journal entry.
bench-sites:
	@if [ ! -x $(BENCH) ]; then \
		echo "bench-sites: $(BENCH) not found; nothing was run"; \
		exit 0; \
	fi; \
	status=0; \
	for site in $(BENCH_SITES); do \
		$(BENCH) score $(KIT)/$$site.toml --quick --jobs $(JOBS) --why "make bench-sites" || status=1; \
	done; \
	exit $$status

# SEEDS days of the fault soak, from seed SEED on, JOBS at once.
SEED ?= 100
SEEDS ?= 50

soak: build
	mkdir -p build/soak
	$(BIN)/verbenaseam soak --seed $(SEED) --seeds $(SEEDS) --jobs $(JOBS) \
		--results build/soak/results.json --report build/soak/report.html

generate:
	$(GO) generate ./api/...

# Developer tools, installed into bin/. gopls is not in go.mod because it pins its own
# golang.org/x/tools. v0.24.0 requires a newer Go release.
GOPLS ?= v0.23.0

tools:
	GOBIN=$(CURDIR)/$(BIN) $(GO) install golang.org/x/tools/gopls@$(GOPLS)
