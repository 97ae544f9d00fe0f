#!/bin/sh
# Runs every fuzz target of the module for the given number of inputs.
# A count, not a duration: go test may report the end of a duration as a failure
# ("context deadline exceeded") when it falls while a worker is busy.
set -eu
inputs="${1:-200000}"
for file in $(git grep -l '^func Fuzz' -- '*_test.go'); do
	package="./$(dirname "$file")"
	for target in $(sed -n 's/^func \(Fuzz[A-Za-z0-9_]*\)(.*/\1/p' "$file"); do
		echo "fuzz $package $target"
		go test "$package" -run '^$' -fuzz "^${target}\$" -fuzztime "${inputs}x" -fuzzminimizetime 1x
	done
done
