# Builds, tests and demonstrates the fleet.

BIN := bin
BUILD ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)

.PHONY: build demo

build:
	@mkdir -p $(BIN)
	go build -ldflags "-X main.build=$(BUILD)" -o $(BIN)/router ./cmd/router
	go build -ldflags "-X main.build=$(BUILD)" -o $(BIN)/vanillalug ./cmd/vanillalug
	go build -o $(BIN)/standin ./cmd/standin
	go build -o $(BIN)/load ./cmd/load
	go build -o $(BIN)/demo ./cmd/demo

demo: build
	$(BIN)/demo -bin $(BIN)
