#!/usr/bin/env bash
# Starts one relay with the command of the deploy file, and the driver that plays everybody else. Exit 1: the rule was
# broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x bin/lichenroad ] && [ -x bin/review-shutdown ] || { echo "not built" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
relay= driver=
cleanup() {
    { [ -z "$relay" ] || kill -KILL "$relay"; [ -z "$driver" ] || kill -KILL "$driver"; wait; } 2>/dev/null
    rm -rf "$dir"
}
trap cleanup EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
bin/review-shutdown --dir "$dir" --record "$here/record.txt" --trouble=$trouble &
driver=$!
for _ in $(seq 100); do [ -f "$dir/config.json" ] && break; sleep 0.1; done
[ -f "$dir/config.json" ] || { echo "no configuration" >&2; exit 2; }
BALANCER_CONFIG=$dir/config.json TMPDIR=$dir /bin/sh -c "$run" 2>"$dir/relay.log" &
relay=$!
echo "$relay" >"$dir/relay.pid"
wait "$driver"
code=$?
driver=
case $code in 0 | 1) ;; *) cat "$dir/relay.log" >&2; code=2 ;; esac
tail -n 3 "$here/record.txt"
exit $code
