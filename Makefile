# Every target runs from a fresh clone with Go alone.
GO ?= go
LINT = $(GO) tool -modfile=tools/go.mod

.PHONY: build demo test soak soak-routes lint docs format

build:
	$(GO) build -o bin/ ./cmd/...

# demo sends one of each kind of work through a small fleet of separate
# processes and checks the answers.
demo: build
	scripts/demo

# test runs the formatter's check, the linters and all tests.
test: lint
	scripts/test

# soak plays the ledger's histories from a fresh seed; a failing seed is printed
# with the command that runs it again.
SOAK_RUNS ?= 50000
soak:
	LEDGER_SEED=$$(date +%s%N | cut -c1-15) LEDGER_RUNS=$(SOAK_RUNS) $(GO) test -count=1 -timeout 2h -run 'TestHistories|TestPlans' ./keeper/core

# soak-routes serves routes under faults of all kinds, from fresh seeds; a failing
# seed is in the name of its test: SOAK_SEED=n runs it again.
SOAK_SEEDS ?= 50
soak-routes:
	SOAK_SEEDS=$(SOAK_SEEDS) $(GO) test -count=1 -timeout 2h -run 'TestSoakRoutes|TestSoakOrder|TestEveryWholeRequestIsAnswered' ./e2e

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "run: make format"; exit 1; }
	$(GO) vet ./...
	$(LINT) staticcheck ./...
	$(LINT) revive -config tools/revive.toml -set_exit_status ./...

# docs writes the pages that are made from the code.
docs: build
	bin/peridotmountd reference settings > docs/SETTINGS.md
	bin/peridotmountd reference metrics > docs/METRICS.md

format:
	gofmt -w .
