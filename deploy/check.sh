#!/usr/bin/env bash
# Builds the programs with the command of the deploy file, as operators do, and checks that they are linked dynamically
# against the C library, and that the relay starts with a sample configuration and exits with code 0 on SIGTERM.
set -euo pipefail
cd "$(dirname "$0")/.."
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$line" ] && [ -n "$run" ] || { echo "deploy/balancer.toml: no build or no run" >&2; exit 1; }
/bin/sh -c "$line"
for program in bin/lichenroad bin/simhost; do
    ldd "$program" 2>&1 | grep -q 'libc\.so' || { echo "$program is not linked against the C library" >&2; exit 1; }
done
log=$(mktemp)
trap 'rm -f "$log"' EXIT
BALANCER_CONFIG=deploy/sample.json /bin/sh -c "$run" 2>"$log" &
relay=$!
for _ in $(seq 100); do
    grep -q 'msg=serving' "$log" && break
    kill -0 "$relay" 2>/dev/null || { cat "$log" >&2; echo "the relay did not start" >&2; exit 1; }
    sleep 0.1
done
grep -q 'msg=serving' "$log" || { kill -KILL "$relay"; cat "$log" >&2; echo "the relay did not start in 10 s" >&2; exit 1; }
kill -TERM "$relay"
code=0
wait "$relay" || code=$?
[ "$code" = 0 ] || { cat "$log" >&2; echo "the relay ended with exit $code" >&2; exit 1; }
echo "deploy: built, dynamic, started and ended"
