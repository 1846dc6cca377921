# build: both programs into bin/; test: what CI runs; lint: format, vet, staticcheck and golangci-lint; run: one relay in the foreground,
# with the configuration of $BALANCER_CONFIG or CONFIG=file.
CONFIG ?= $(BALANCER_CONFIG)

.PHONY: build test lint race run demo clean

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	./test.sh

lint:
	@bad=$$(gofmt -l .); if [ -n "$$bad" ]; then echo "gofmt would change: $$bad" >&2; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...

race:
	go test -race -count=1 ./...

# demo: a good and a bad build through a plan, with real processes on loopback; ends by itself within a minute; then a bundled trace replayed.
demo: build
	bin/lichenroad lab demo --dir found/demo
	bin/lichenroad trace replay trace/testdata/alibaba-2018.csv --layout alibaba-2018 --mapping deploy/mapping.xml --report found/demo

run: build
	bin/lichenroad serve --config "$(CONFIG)"

clean:
	rm -rf bin
