#!/usr/bin/env bash
# Builds the program that plays the cases, with its stand-ins, into target/. It needs no network.
set -euo pipefail
mkdir -p "$(dirname "$0")/../target"
cd "$(dirname "$0")/tools"
GOFLAGS= GOWORK=off go build -o ../../target/review-cases .
