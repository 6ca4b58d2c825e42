# The one task file: build, lint, test, demo, and the long runs.
SHELL := /bin/bash
FLEET ?= tinjau
GOFUMPT := go run mvdan.cc/gofumpt@v0.12.0
LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

SEED ?= 1
DURATION ?= 5m

.PHONY: build test lint demo soak model bench

build: ## builds both programs into bin/
	go build -ldflags "-X main.release=$$(git describe --always --dirty 2>/dev/null || echo dev)" -o bin/ ./cmd/...

test: build lint model ## what CI runs
	go vet ./...
	go test -timeout 30m ./...

model: ## checks the specifications with spin; the broken variants must be rejected
	model/run.sh

lint: ## format and linter
	@out=$$($(GOFUMPT) -l .); if [ -n "$$out" ]; then echo "gofumpt differs in:"; echo "$$out"; exit 1; fi
	$(LINT) run ./...

demo: build ## a fleet of real processes; FLEET=tinjau or guild; PLATFORM=1 on a stand-in of the users' platform
	$(if $(PLATFORM),scripts/platform-demo.sh,FLEET=$(FLEET) scripts/demo.sh)

soak: build ## a long random run with failures; SEED=n DURATION=d FLEET=tinjau or guild; PLATFORM=1 on the users' platform
	$(if $(PLATFORM),PROGRAM=$(CURDIR)/bin/mulberrylever SEED=$(SEED) DURATION=$(DURATION) go test -tags soak ./platform/ -count=1 -timeout 3h -v -run TestSoak,\
	SEED=$(SEED) DURATION=$(DURATION) FLEET=$(FLEET) go test -tags soak ./internal/proof/prover/ -count=1 -timeout 3h -v -ginkgo.focus "soak keeps every invariant")

bench: build ## routing policies side by side; FLEET=tinjau or guild
	FLEET=$(FLEET) scripts/bench.sh

slopes: build ## how state, messages and time of a node grow with the fleet
	bin/standin slopes

overhead: build ## what a node adds to a request, against the engine directly
	FLEET=$(FLEET) scripts/overhead.sh
