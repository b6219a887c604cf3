#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start, into target/review-2/cases. It needs
# the modules that go.mod names, and no network once the daemon of the deploy file was built.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go test -c -tags review2 -o target/review-2/cases ./review/standins2
