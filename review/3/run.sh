#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/agent ] || [ ! -x review/bin/standin ]; then
	echo "run the build command of the deploy file and review/build.sh first" >&2
	exit 2
fi
timeout --kill-after=3 110 review/bin/standin bulk-memory review/3/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
