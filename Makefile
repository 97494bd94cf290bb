# Targets for developers. CI runs `make test`; `make demo` runs all programs on loopback under load.
GO            ?= go
LINT_VERSION  := v2.15.0
TOOLS_DIR     := $(shell $(GO) env GOPATH)/bin
LINT          := $(TOOLS_DIR)/golangci-lint
GOPLS_VERSION := v0.23.0
GOPLS         := $(TOOLS_DIR)/gopls
BINARIES      := galena-entry galena-control galenactl galena-backend
VERSION       := $(shell git describe --always --dirty 2>/dev/null || echo unknown)
FUZZ_TIME     ?= 300x

.PHONY: all build test fmt fmt-check lint generate generate-check unit fuzz demo faults soak bench tools gopls clean

all: build

build:
	$(GO) build -ldflags "-X github.com/galenalug/galenalug/internal/version.Version=$(VERSION)" -o bin/ $(addprefix ./cmd/,$(BINARIES))

test: fmt-check lint generate-check unit fuzz

fmt:
	gofmt -w $$(git ls-files '*.go')

fmt-check:
	@out=$$(gofmt -l $$(git ls-files --cached --others --exclude-standard '*.go')); \
	if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

tools: $(LINT)

$(LINT):
	$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

# Installs gopls, which renames identifiers with all uses: gopls rename -w FILE:LINE:COLUMN NEW_NAME.
gopls: $(GOPLS)

$(GOPLS):
	$(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: $(LINT)
	@$(LINT) version --short | grep -qF "$(LINT_VERSION:v%=%)" || $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	$(GO) vet ./...
	$(LINT) run ./...

generate:
	bash scripts/generate.sh

generate-check:
	bash scripts/generate-check.sh

unit:
	bash scripts/unit.sh

# Runs every fuzz target for a fixed number of inputs.
fuzz:
	bash scripts/fuzz.sh $(FUZZ_TIME)

demo: build
	bash scripts/demo.sh

# Kills and pauses each process of the demo in turn; see scripts/faults.sh.
faults: build
	bash scripts/faults.sh fencing
	bash scripts/faults.sh mixed

# Injects faults into the programs that run on the users' platform; see platform/soak_test.go.
SOAK_FIRST   ?= 1
SOAK_SEEDS   ?= 50
SOAK_SECONDS ?= 8
soak:
	$(GO) test ./platform -run TestSoak -soak.first $(SOAK_FIRST) -soak.seeds $(SOAK_SEEDS) -soak.seconds $(SOAK_SECONDS) -v -timeout 3h

bench:
	$(GO) test -run '^$$' -bench . -benchtime 1x ./...

clean:
	rm -rf bin .demo .faults
