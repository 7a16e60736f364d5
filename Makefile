# Commands of the project; the README explains them.
GOLANGCI_VERSION := v2.15.0
GOBIN := $(shell go env GOPATH)/bin
LINT := $(GOBIN)/golangci-lint

.PHONY: all build demo test lint fmt fuzz bench bench-site scores soak clean tools

all: build

build:
	go build -o bin/ ./cmd/...

demo: build
	scripts/demo.sh

test:
	scripts/test.sh

tools:
	@$(LINT) version 2>/dev/null | grep -q "$(GOLANGCI_VERSION:v%=%)" || \
		go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: tools
	$(LINT) fmt --diff
	$(LINT) run

fmt: tools
	$(LINT) fmt

# All benches take 10 minutes or more; make bench BENCHES=path runs one.
BENCHES := detection traffic claims confsync fleet capacity processes path

bench: build
	@mkdir -p bench-results
	@failed=; for b in $(BENCHES); do \
		test -d internal/bench/$$b || continue; \
		flag=-json; test $$b = confsync && flag=-out; \
		echo "== $$b"; \
		go run ./internal/bench/$$b $$flag bench-results/$$b.json || failed="$$failed $$b"; \
	done; \
	go run ./internal/bench/report bench-results/*.json; \
	test -z "$$failed" || { echo "failed:$$failed"; exit 1; }

# The standard days of a site of the users' kit, for whoever has it:
# make bench-site KIT=path/to/kit SITE=path/to/site.toml WHY="what is tried"
bench-site:
	@test -x "$(KIT)/bin/fleetbench" || { echo "KIT must name the folder of the users' kit"; exit 2; }
	$(KIT)/bin/fleetbench score $(SITE) --why "$(WHY)"

# The table of all scored plays, from the journal.
scores:
	go run ./platform/scores journal/*.json > docs/score.md

# Random faults against real processes, with fresh seeds: make soak SEEDS=50
# STOPS=1 plays planned stops and no faults.
SEEDS := 10
soak: build
	go run ./internal/soak -seeds $(SEEDS) $(if $(STOPS),-stops) -bin bin

# Random messages at the readers of heads, entries and replies, each for FUZZTIME: make fuzz FUZZTIME=15m
# The engine of the standard library minimizes every new input for a minute unless told otherwise.
FUZZTIME := 5m
FUZZ := ./internal/httphead:FuzzRequestHead ./internal/httphead:FuzzAnswerHead ./platform:FuzzFieldReader ./platform:FuzzDecodeReply \
	./pkg/peer:FuzzFrame ./pkg/document:FuzzParse ./internal/strictyaml:FuzzDecode ./pkg/ejection:FuzzDecode ./pkg/membership:FuzzDecode ./pkg/poison:FuzzDecodeSummary
fuzz:
	@for f in $(FUZZ); do \
		echo "== $$f"; \
		go test "$${f%%:*}" -run '^$$' -fuzz "^$${f##*:}$$" -fuzztime $(FUZZTIME) -fuzzminimizetime 10x || exit 1; \
	done

clean:
	rm -rf bin
