#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays the
# same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/anvil-node ] || { echo "build the workspace first"; exit 2; }
[ -x target/review/standin ] || sh review/build.sh || exit 2
exec target/review/standin slow-stop review/3
