#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 omits the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/masticpass ] && [ -x target/review-2/case-8 ] || exit 2
timeout -k 2 117 target/review-2/case-8 review/8/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
