#!/bin/sh
# Builds the stand-ins of the second review's cases (clients, units, discovery, platform) as bin/review-rig. It needs the Go
# tool chain alone: they use the standard library only. The programs under test come from the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
exec go build -buildvcs=false -tags review -o bin/review-rig ./review/second/tools/rig
