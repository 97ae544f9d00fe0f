#!/bin/bash
# Builds the stand-ins and the checks of all cases into target/, beside the programs of the deploy
# file. The folder begins with _, so that ./... leaves it out of CI and of the default test run.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PATH:/usr/local/go/bin"
go build -trimpath -o target/review ./review/_standins
