#!/usr/bin/env bash
# A daemon keeps an old configuration in force after the store has turned it away for a moment. Exit status: 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. With TROUBLE=0 the store turns no machine away.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/configuration ] && [ -x target/platform/parsleypaddled-platform ] || { echo "run the build of deploy/system.toml and review/build.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/configuration "$folder" review/3/record.txt
