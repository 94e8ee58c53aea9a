# Front door of the project. `make help` lists the targets.
SHELL := /bin/bash
GO ?= go
BIN := $(CURDIR)/bin
TOOLS := $(BIN)/tools
MODULES := core entryd haven keepd platform stand trial
PROGRAMS := entryd haven keepd stand trial
LINT_VERSION := v2.15.0
WIRE_VERSION := v0.7.0
GOPLS_VERSION := v0.23.0
SEEDS ?= 20
MINUTES ?= 5
FUZZTIME ?= 10s

.DEFAULT_GOAL := help
.PHONY: help build demo test unit race lint fmt generate check-generated trial flow soak bench fuzz clean tools

help: ## list the targets
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | awk -F':.*## ' '{printf "%-18s %s\n", $$1, $$2}'

build: ## build all programs into bin/
	@mkdir -p $(BIN)
	@for p in $(PROGRAMS); do $(GO) build -o $(BIN)/$$p ./$$p || exit 1; done

demo: build ## run the main job end to end with separate processes
	@$(BIN)/trial demo -bin $(BIN)

test: lint check-generated race demo ## all that CI checks: linter, generated code, tests with the race detector, demo

unit: ## tests without the race detector
	@for m in $(MODULES); do (cd $$m && $(GO) test ./...) || exit 1; done

race: build ## tests with the race detector; those in KNOWN-RED.txt run apart
	@GO=$(GO) VERBENAHAVEN_BIN=$(BIN) .ci/race

fuzz: ## run each fuzz target for FUZZTIME
	@GO=$(GO) FUZZTIME=$(FUZZTIME) .ci/fuzz

lint: $(TOOLS)/golangci-lint ## formatter and linter
	@for m in $(MODULES); do (cd $$m && $(TOOLS)/golangci-lint run --allow-serial-runners ./...) || exit 1; done

fmt: $(TOOLS)/golangci-lint ## format all code
	@for m in $(MODULES); do (cd $$m && $(TOOLS)/golangci-lint fmt ./...) || exit 1; done

generate: $(TOOLS)/wire ## make the generated code anew
	@for p in entryd keepd; do (cd $$p && $(TOOLS)/wire ./...) || exit 1; done

check-generated: $(TOOLS)/wire ## fail if the generated code is out of date
	@for p in entryd keepd; do (cd $$p && $(TOOLS)/wire diff ./...) || exit 1; done

trial: build ## compare the policies under load; writes out/
	@$(BIN)/trial run -bin $(BIN) -out $(CURDIR)/out

flow: build ## simulate the scheduler under load, by size; writes out/flow.svg
	@$(BIN)/trial flow -out $(CURDIR)/out

soak: build ## long random runs: SEEDS of the consensus, MINUTES of real processes
	@cd core && $(GO) test ./process/quorum -run TestSoak -soak.seeds $(SEEDS) -timeout 2h -v
	@$(BIN)/trial soak -bin $(BIN) -minutes $(MINUTES)

bench: build ## benchmarks for docs/MEASURES.md
	@for m in $(MODULES); do (cd $$m && $(GO) test -run XXX -bench . -benchmem ./...) || exit 1; done

clean: ## remove what was built and written
	@rm -rf $(BIN) $(CURDIR)/out

tools: $(TOOLS)/golangci-lint $(TOOLS)/wire $(TOOLS)/gopls ## install the linter, the generator and the renaming tool

$(TOOLS)/golangci-lint:
	@mkdir -p $(TOOLS)
	GOWORK=off GOFLAGS=-mod=mod GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

$(TOOLS)/wire:
	@mkdir -p $(TOOLS)
	GOWORK=off GOFLAGS=-mod=mod GOBIN=$(TOOLS) $(GO) install github.com/google/wire/cmd/wire@$(WIRE_VERSION)

$(TOOLS)/gopls:
	@mkdir -p $(TOOLS)
	GOWORK=off GOFLAGS=-mod=mod GOBIN=$(TOOLS) $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
