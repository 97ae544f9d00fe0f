#!/bin/sh
# Fails if docs/FAULTS.md names a test or fuzz target that the module does not define.
set -eu
[ -f docs/FAULTS.md ] || exit 0
missing=0
for name in $(grep -oE '\b(Test|Fuzz)[A-Za-z0-9_]+' docs/FAULTS.md | sort -u); do
	if ! git grep -qE "^func ${name}\(" -- '*_test.go'; then
		echo "docs/FAULTS.md: no test named $name in this module"
		missing=1
	fi
done
exit "$missing"
