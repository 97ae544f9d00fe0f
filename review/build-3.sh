#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, the project's own among them,
# into target/. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-3 ./review/_standins-3
