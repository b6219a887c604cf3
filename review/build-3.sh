#!/usr/bin/env bash
# Builds the program that plays the platform, the replicas and the clients of the cases 11 to 15.
# The daemon itself is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review3 -o target/review3 ./review/standins3
