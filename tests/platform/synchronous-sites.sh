#!/usr/bin/env bash
# Copies deployments of the users' bench with `sync-replicas` 1 in place of 0, which the originals have. Usage: synchronous-sites.sh FOLDER SITE...
# Run by hand: a copy is played like its original, and its figures are trials.
set -euo pipefail
target=$1
shift
for site in "$@"; do
    folder="$target/$(basename "$(dirname "$site")")"
    mkdir -p "$folder"
    cp "$(dirname "$site")"/{wire.json,CUT} "$folder/"
    name=$(basename "$site" .toml)
    cp "${site%.toml}.days" "$folder/$name.days"
    sed -E 's/(db = \{ sync = )0\b/\11/' "$site" >"$folder/$name.toml"
    if ! grep -q 'sync = 1\b' "$folder/$name.toml"; then
        echo "no database with sync-replicas 0 in $site" >&2
        exit 1
    fi
    echo "$folder/$name.toml"
done
