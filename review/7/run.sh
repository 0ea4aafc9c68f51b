#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 there is no disruption. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/jaythread ] && [ -x target/review-2 ] || { echo "build first: the line of the deploy file, then review/build-2.sh"; exit 2; }
exec target/review-2 slow "$here/record.txt"
