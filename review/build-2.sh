#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/standins-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2 .
