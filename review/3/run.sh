#!/bin/sh
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../bin/madderhollow ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec ../bin/standin -case hall -root ../.. -record record.txt -trouble="${TROUBLE:-1}" -seed "${SEED:-1}"
