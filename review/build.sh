#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs Go only, no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../target/standins .
