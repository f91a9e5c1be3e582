#!/usr/bin/env bash
# A call for a promotion that was held up acts after a later one. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. With TROUBLE=0 no daemon is cut off.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/promotion ] && [ -x target/platform/parsleypaddled-platform ] || { echo "run the build of deploy/system.toml and review/build.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/promotion "$folder" review/4/record.txt
