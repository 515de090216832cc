#!/bin/sh
# Plays the case "restored". Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standin="$root/target/review-2/standin"
[ -x "$standin" ] && [ -x "$root/target/release/persimmon-gateway" ] || {
    echo "build the deploy file's build and review/build-2.sh first" >&2
    exit 2
}
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 116 "$standin" restored "$root" "$folder" "$here/record.txt"
verdict=$?
[ "$verdict" -le 1 ] || verdict=2
exit "$verdict"
