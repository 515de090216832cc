#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
top=$here
until [ -e "$top/deploy/system.toml" ]; do
  [ "$top" != / ] || exit 2
  top=$(dirname "$top")
done
cd "$top" || exit 2
[ -x target/review/stand-in ] && [ -x target/release/persimmon-gateway ] || exit 2
exec target/review/stand-in unanswered-at-stop "$here"
