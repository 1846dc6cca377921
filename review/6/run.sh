#!/bin/sh
# Units send some good answers twice; the second copy reaches the relay when its next request is on the connection.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/lichenroad ] || [ ! -x bin/review-rig ]; then
    echo "build by deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
TROUBLE="${TROUBLE:-1}" exec bin/review-rig second-answer review/6
