#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x "$here/../build/case3" ] || { echo "review/build.sh has not run" >&2; exit 2; }
[ -x target/programs/hawthornlane-front ] || { echo "the deploy build is missing" >&2; exit 2; }
timeout -s KILL 118 "$here/../build/case3" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
