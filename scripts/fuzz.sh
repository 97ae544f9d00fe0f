#!/bin/sh
# Usage: fuzz.sh [INPUTS]
# Runs every fuzz target of the module for INPUTS inputs (default 200000).
# -fuzztime is a count rather than a duration because go test can report the end of
# a duration as a failure ("context deadline exceeded") while a worker is busy.
set -eu
inputs="${1:-200000}"
for file in $(git grep -l '^func Fuzz' -- '*_test.go'); do
	package="./$(dirname "$file")"
	for target in $(sed -n 's/^func \(Fuzz[A-Za-z0-9_]*\)(.*/\1/p' "$file"); do
		echo "fuzz $package $target"
		go test "$package" -run '^$' -fuzz "^${target}\$" -fuzztime "${inputs}x" -fuzzminimizetime 1x
	done
done
