# Builds, tests and benchmarks the router and its tools, and runs the demo.

BIN := bin
BUILD ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)
MODULES := . cmd/demo cmd/load cmd/measure cmd/mutants cmd/router cmd/soak cmd/standin cmd/vanillalug
LINT_VERSION := v2.15.0
GOPLS_VERSION := v0.21.0
TOOLS := $(CURDIR)/bin/tools
SKIP := $(shell awk '/^test:/ {printf "%s%s", sep, $$2; sep="|"}' KNOWN-RED.txt 2>/dev/null)

.PHONY: build test demo lint format tools gopls measure admission slopes bench mutants fuzz soak generate

build:
	@mkdir -p $(BIN)
	go build -ldflags "-X main.build=$(BUILD)" -o $(BIN)/router ./cmd/router
	go build -ldflags "-X main.build=$(BUILD)" -o $(BIN)/vanillalug ./cmd/vanillalug
	go build -o $(BIN)/standin ./cmd/standin
	go build -o $(BIN)/load ./cmd/load
	go build -o $(BIN)/demo ./cmd/demo
	go build -o $(BIN)/measure ./cmd/measure
	go build -o $(BIN)/soak ./cmd/soak

# The tests of crowds of clients need the machine's memory for sockets, so they run last and alone.
CROWD := vanillalug.example/cmd/demo/crowd

# Runs every test of every module. Tests listed in KNOWN-RED.txt are left out.
test:
	go test -count=1 -p 4 $(if $(SKIP),-skip '$(SKIP)') $$(go list work | grep -vx $(CROWD))
	go test -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)') $(CROWD)

demo: build
	$(BIN)/demo -bin $(BIN)

tools:
	@mkdir -p $(TOOLS)
	@test -x $(TOOLS)/golangci-lint || GOBIN=$(TOOLS) GOWORK=off go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

# Installs gopls, whose rename command changes a name in all modules of the
# workspace. CI does not need it.
gopls:
	@mkdir -p $(TOOLS)
	@test -x $(TOOLS)/gopls || GOBIN=$(TOOLS) GOWORK=off go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: tools
	@for m in $(MODULES); do echo "lint $$m"; (cd $$m && $(TOOLS)/golangci-lint run ./...) || exit 1; done

format: tools
	@for m in $(MODULES); do (cd $$m && $(TOOLS)/golangci-lint fmt ./...) || exit 1; done

# Compares the policies for placing chats, on one trace for each deployment.
measure: build
	$(BIN)/measure placement

# Compares the policies for rejecting requests under overload, and plots them by
# load.
admission: build
	$(BIN)/measure admission -plot docs/admission.svg

# Measures how resource usage grows with load, the basis of docs/CAPACITY.md.
slopes: build
	$(BIN)/measure slopes -bin $(BIN)

# Measures the cost of a request, of an event and of an open stream, through the
# platform's interface and through our own.
bench: build
	$(BIN)/measure gateway -bin $(BIN)
	$(BIN)/measure path -bin $(BIN)

# Mutation tests: checks that the tests fail for deliberately wrong code.
mutants:
	go run ./cmd/mutants -list cmd/mutants/mutants.ini

# Injects random faults into router processes. SEED is the first of 50 seeds; then
# come the seeds that have failed before.
SEED ?= 1000
soak: build
	$(BIN)/soak -router $(BIN)/router -seed $(SEED) -seeds 50 -for 15s
	@for s in $$(awk '!/^#/ {print $$1}' cmd/soak/seeds.txt); do $(BIN)/soak -router $(BIN)/router -seed $$s -for 15s || exit 1; done

# Runs the fuzz and property tests longer than CI does.
fuzz:
	VANILLALUG_CHECKS=5000 VANILLALUG_STEPS=200 go test -count=1 ./ledger ./register ./receipt ./desk ./roster
	go test -fuzz FuzzReadFleet -fuzztime 1m .
	go test -fuzz FuzzRead -fuzztime 1m ./form
	go test -fuzz FuzzDecodeRoutingTable -fuzztime 1m ./platform
	go test -fuzz FuzzDecodeTarget -fuzztime 1m ./platform
	go test -fuzz FuzzReadParts -fuzztime 1m ./platform
	cd cmd/router && VANILLALUG_CHECKS=2000 go test -count=1 -run TestResponseInvariants ./gateway
	go test -fuzz FuzzClaim -fuzztime 1m ./ledger
	cd cmd/router && go test -fuzz FuzzEventReader -fuzztime 1m ./courier
	cd cmd/router && go test -fuzz FuzzParseChat -fuzztime 1m ./handlers

# Regenerates the committed code from peer/*.proto. Needs protoc.
generate:
	GOBIN=$(TOOLS) GOWORK=off go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	GOBIN=$(TOOLS) GOWORK=off go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
	PATH=$(TOOLS):$$PATH protoc --go_out=. --go_opt=module=vanillalug.example --twirp_out=. --twirp_opt=module=vanillalug.example peer/peer.proto peer/beliefs.proto
