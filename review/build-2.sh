#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the second review. Needs no network: the
# module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/rig2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=readonly GOWORK=off go build -o ../../target/review-2/rig2 .
