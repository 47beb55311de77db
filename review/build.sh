#!/usr/bin/env bash
# Builds the program that plays the cases, with its stand-ins, into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/tools"
GOFLAGS= GOWORK=off go build -o ../../target/review-cases .
