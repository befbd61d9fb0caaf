#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh.
set -u
cd "$(dirname "$0")/../.."
exec target/review-standin hub review/4/record.txt
