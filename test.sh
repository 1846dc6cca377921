#!/usr/bin/env bash
# The test command: format check, vet, build, tests, and the deploy file's own build started and ended. Random runs use
# a fixed seed and leave no fail files.
set -euo pipefail
cd "$(dirname "$0")"
bad=$(gofmt -l .)
if [ -n "$bad" ]; then
    echo "gofmt would change: $bad" >&2
    exit 1
fi
go vet ./...
mkdir -p bin
go build -o bin/ ./cmd/...
go test -count=1 ./...
deploy/check.sh
