#!/usr/bin/env bash
# Plays case 7 (claim.txt) with SEED (default 1), with TROUBLE=0 without the disruption. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. The stand-in ends all processes that it starts.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../../bin/madderhollow ] || [ ! -x ../../bin/review-standin-2 ]; then
	echo "build first: the line of deploy/balancer.toml, then review/build-2.sh" >&2
	exit 2
fi
exec ../../bin/review-standin-2 -case move -root ../.. -record record.txt
