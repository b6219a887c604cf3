#!/usr/bin/env bash
# Builds the program that plays the scripted cases: clients, and the stand-ins of the platform's
# store and of replicas. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -tags review -o target/review/cases ./review/cases
