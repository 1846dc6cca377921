#!/usr/bin/env bash
# The test command: format check, vet, staticcheck, build, tests, the network half's once more with -race, and the deploy
# file's own build started and ended. Random runs use a fixed seed and leave no fail files.
set -euo pipefail
cd "$(dirname "$0")"
bad=$(gofmt -l .)
if [ -n "$bad" ]; then
    echo "gofmt would change: $bad" >&2
    exit 1
fi
go vet ./...
go tool staticcheck ./...
mkdir -p bin
go build -o bin/ ./cmd/...
go test -count=1 ./...
go test -race -count=1 ./internal/... ./cmd/lichenroad/...
deploy/check.sh
