# build: builds both programs into bin/. test: runs what CI runs. lint: runs the format check, vet, staticcheck and golangci-lint.
# run: runs a relay in the foreground, with the configuration file that $BALANCER_CONFIG or CONFIG=file names.
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

# demo: rolls out a good and a bad build under a release plan, with real processes on loopback, which takes less than a minute.
# Then it replays a bundled trace.
demo: build
	bin/lichenroad lab demo --dir found/demo
	bin/lichenroad trace replay trace/testdata/alibaba-2018.csv --layout alibaba-2018 --mapping deploy/mapping.xml --report found/demo

run: build
	bin/lichenroad serve --config "$(CONFIG)"

clean:
	rm -rf bin
