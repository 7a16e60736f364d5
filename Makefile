# Commands of the project; the README explains them.
GOLANGCI_VERSION := v2.15.0
GOBIN := $(shell go env GOPATH)/bin
LINT := $(GOBIN)/golangci-lint

.PHONY: all build demo test lint fmt bench clean tools

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

bench: build
	go run ./internal/bench

clean:
	rm -rf bin
