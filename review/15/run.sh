#!/bin/sh
# Case 15 of the third review; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/laburnum-sidecar ] || [ ! -x target/review-3/cases ]; then
  echo "build first: the build of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
exec target/review-3/cases popular-request review/15/record.txt
