#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local GOPROXY=off "${GO:-go}" build -o ../../target/review-2/rig .
