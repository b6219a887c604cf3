#!/usr/bin/env bash
# Plays case 15. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# Needs target/peridotmountd (the build of the deploy file) and target/review3 (review/build-3.sh).
set -u
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x target/peridotmountd ] && [ -x target/review3 ] || { echo "build first" >&2; exit 2; }
REVIEW3_CASE=15 REVIEW3_FOLDER="$here" TROUBLE="${TROUBLE:-1}" exec target/review3
