# Tasks: build, lint, test, demo, soak runs and benchmarks.
SHELL := /bin/bash
FLEET ?= tinjau
GOFUMPT := go run mvdan.cc/gofumpt@v0.12.0
LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

SEED ?= 1
DURATION ?= 5m

.PHONY: build test lint demo soak model bench

build: ## builds the product and the stand-in into bin/
	go build -ldflags "-X main.release=$$(git describe --always --dirty 2>/dev/null || echo dev)" -o bin/ ./cmd/...

test: build lint model ## all checks that CI runs
	go vet ./...
	go test -timeout 30m ./...

model: ## checks the specifications with spin; broken variants must be rejected
	model/run.sh

lint: ## checks formatting and runs the linter
	@out=$$($(GOFUMPT) -l .); if [ -n "$$out" ]; then echo "gofumpt differs in:"; echo "$$out"; exit 1; fi
	$(LINT) run ./...

demo: build ## starts a fleet of real processes; FLEET=tinjau or guild; PLATFORM=1 uses a stand-in of the users' platform
	$(if $(PLATFORM),scripts/platform-demo.sh,FLEET=$(FLEET) scripts/demo.sh)

soak: build ## runs load with random failures; SEED=n DURATION=d FLEET=tinjau or guild; PLATFORM=1 uses a stand-in of the users' platform, and with OLD=commit that build beside this one
	$(if $(OLD),scripts/build-old.sh $(OLD))
	$(if $(PLATFORM),go build -tags soak -o bin/soak/ ./cmd/mulberrylever && PROGRAM=$(CURDIR)/bin/soak/mulberrylever OLD_PROGRAM=$(if $(OLD),$(CURDIR)/bin/soak/old/mulberrylever) SEED=$(SEED) DURATION=$(DURATION) go test -tags soak ./platform/ -count=1 -timeout 3h -v -run TestSoak,\
	SEED=$(SEED) DURATION=$(DURATION) FLEET=$(FLEET) go test -tags soak ./internal/proof/prover/ -count=1 -timeout 3h -v -ginkgo.focus "soak keeps every invariant")

bench: build ## compares the routing policies; FLEET=tinjau or guild
	FLEET=$(FLEET) scripts/bench.sh

slopes: build ## measures how state, messages and processing time of a node grow with the fleet
	bin/standin slopes

overhead: build ## measures the latency that a node adds, compared with calling the engine directly
	FLEET=$(FLEET) scripts/overhead.sh
