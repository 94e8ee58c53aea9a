#!/bin/sh
# Builds the stand-in that the scripts start. It needs Go and no network.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -o ../target/review/standin .
