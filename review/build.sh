#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
for name in review/tools/*/; do
    name=$(basename "$name")
    [ "$name" = rig ] || go build -tags review -o "bin/review-$name" "./review/tools/$name"
done
