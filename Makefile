# Targets for users (demo, test) and for developers (the rest).

SHELL := /bin/bash
MODULES := client cmd/auburnrelay core node objects platform standin wire
BUILD := $(CURDIR)/build
TOOLBIN := $(CURDIR)/.bin

GOLANGCI_LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF := github.com/bufbuild/buf/cmd/buf@v1.75.0
PROTOC_GEN_GO := google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
PROTOC_GEN_GO_GRPC := google.golang.org/grpc/cmd/protoc-gen-go-grpc@v1.6.2

.PHONY: demo test walk measure measure-check scale build tools generate check-generated format check-format lint tidy check-tidy clean

# Builds everything and runs the demonstration as separate processes.
demo: build
	$(BUILD)/demo --bin $(BUILD)

# Regular expression for the names of the tests that fail for a known fault, built from the
# lines "test: NAME" of KNOWN-RED.txt. It matches whole names only.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | sed 's|/|$$/^|g; s|^|^|; s|$$|$$|' | paste -sd '|' -)

# Runs all tests of all modules except the known failing ones, whose names it prints. The tests with hostile clients
# measure the memory and descriptors of processes under attack, so they run alone, after all others.
test:
	@if [ -n '$(KNOWN_RED)' ]; then echo 'known red, not run: $(KNOWN_RED)'; fi
	@set -e; for m in $(MODULES); do (cd $$m && go test -count=1 $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $$(go list ./... | grep -v standin/hostile)); done
	@cd standin && go test -count=1 ./hostile

# Measures both deployments under load and compares them with the baseline. Takes about 20
# minutes and needs all processors of the machine.
measure: build
	$(BUILD)/measure --bin $(BUILD)

# Checks that the measurements work, in about a minute. The figures are meaningless, since
# the runs are too short.
measure-check: build
	$(BUILD)/measure --bin $(BUILD) --short --no-baseline --scenario overhead
	$(BUILD)/measure --bin $(BUILD) --short --no-baseline --profile horsebox --scenario crest

# Measures cells of 4, 8, 16 and 32 nodes and the cost of forwarding; takes about four minutes.
scale: build
	$(BUILD)/scale --bin $(BUILD)

build:
	@mkdir -p $(BUILD)
	@cd cmd/auburnrelay && go build -o $(BUILD)/auburnrelay .
	@cd standin && go build -o $(BUILD)/ ./cmd/...

# Installs the pinned developer tools into .bin.
tools:
	@GOWORK=off GOBIN=$(TOOLBIN) go install $(GOLANGCI_LINT)
	@GOWORK=off GOBIN=$(TOOLBIN) go install $(BUF)
	@GOWORK=off GOBIN=$(TOOLBIN) go install $(PROTOC_GEN_GO)
	@GOWORK=off GOBIN=$(TOOLBIN) go install $(PROTOC_GEN_GO_GRPC)

# Regenerates the wire code from the .proto files.
generate:
	@cd wire && PATH=$(TOOLBIN):$$PATH buf generate

check-generated: generate
	@test -z "$$(git status --porcelain -- wire)" || { git status --porcelain -- wire; echo "generated code differs from what is committed"; exit 1; }

format:
	@gofmt -w $(MODULES)

check-format:
	@out="$$(gofmt -l $(MODULES))"; test -z "$$out" || { echo "gofmt: $$out"; exit 1; }

lint:
	@failed=0; for m in $(MODULES); do \
		echo "lint $$m"; \
		(cd $$m && $(TOOLBIN)/golangci-lint run --config $(CURDIR)/.golangci.yml ./...) || failed=1; \
	done; exit $$failed
	@cd wire && PATH=$(TOOLBIN):$$PATH buf lint

tidy:
	@set -e; for m in $(MODULES); do (cd $$m && GOWORK=off go mod tidy); done

clean:
	rm -rf $(BUILD)

# Runs the random-walk test of the cell's state machine with SEEDS seeds, from FIRST on, and
# prints the seed of a failure.
SEEDS ?= 5000
FIRST ?= 1
walk:
	@cd core && WALK_SEEDS=$(SEEDS) WALK_FIRST=$(FIRST) go test ./cell -run 'TestWalk$$' -timeout 0 -v

# Runs SEEDS random schedules of two faults on real processes, with seeds from FIRST on, and
# prints the seed of a failure.
faults:
	@cd standin && FAULT_SEEDS=$(SEEDS) FAULT_SEED=$(FIRST) go test ./faults -run 'TestTwoFaults$$' -timeout 0 -v
