#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/peridotmountd ] && [ -x target/review/cases ] || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
CASE=deadly-request CASE_DIR="$here" DAEMON="$PWD/target/peridotmountd" exec target/review/cases
