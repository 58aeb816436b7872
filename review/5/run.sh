#!/bin/sh
# Plays the case "announced". It exits with 1 if the rule was broken, 0 if it held and 2 if
# the case couldn't run. Before it, the build of deploy/system.toml and review/build.sh
# have to run. With TROUBLE=0 the disruption is left out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/reviewstand ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/reviewstand announced "$here/record.txt"
