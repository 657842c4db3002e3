SEEDS ?= 200
FIRST_SEED ?= 1
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2
REVIVE := github.com/mgechev/revive@v1.17.0
BUF := github.com/bufbuild/buf/cmd/buf@v1.75.0

.PHONY: build demo test lint bench generate soak mutate fuzz capacity

build:
	go build -o bin/ ./cmd/...

demo: build
	scripts/demo.sh

# SKIP is a pattern of tests to leave out. -count=1 bypasses the test cache, which does not notice changes of the programs that e2e builds.
test:
	go test -count=1 $(if $(SKIP),-skip '$(SKIP)') ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go run $(STATICCHECK) ./...
	go run $(REVIVE) -config revive.toml -set_exit_status -exclude ./internal/wire/... ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

generate:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.21.1
	PATH="$$(go env GOPATH)/bin:$$PATH" go run $(BUF) generate

soak:
	go test ./internal/exerciser -run '^TestSoak$$' -v -timeout 2h -seeds $(SEEDS) -first-seed $(FIRST_SEED) | grep -E 'seed [0-9]+:|FAIL|ok'

mutate:
	go test ./internal/exerciser -run TestMutationsAreDetected -mutate -v -timeout 1h | grep -E '^ +--- |detected|FAIL|ok'

FUZZTIME ?= 1m

fuzz:
	for target in FuzzDocument FuzzPage FuzzReport FuzzResponse FuzzCallerRequest FuzzServerLimit; do \
		go test ./platform -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME) || exit 1; done
	go test ./internal/messenger -run '^$$' -fuzz FuzzDatagram -fuzztime $(FUZZTIME)
	go test ./internal/listener -run '^$$' -fuzz FuzzFirstBytes -fuzztime $(FUZZTIME)
	go test ./pkg/configurer -run '^$$' -fuzz FuzzSettings -fuzztime $(FUZZTIME)

capacity:
	go test ./internal/exerciser -run TestCapacity -capacity -v -timeout 20m
