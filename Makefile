# build: both programs into bin/; test: what CI runs; lint: format and vet; run: one relay in the foreground,
# with the configuration of $BALANCER_CONFIG or CONFIG=file.
CONFIG ?= $(BALANCER_CONFIG)

.PHONY: build test lint race run clean

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	./test.sh

lint:
	@bad=$$(gofmt -l .); if [ -n "$$bad" ]; then echo "gofmt would change: $$bad" >&2; exit 1; fi
	go vet ./...

race:
	go test -race -count=1 ./...

run: build
	bin/lichenroad serve --config "$(CONFIG)"

clean:
	rm -rf bin
