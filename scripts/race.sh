#!/bin/sh
# Runs the short tests under the race detector. One known failure does not fail the
# run: the data race between startWatchdog and check of request/forward in the test
# named below, while KNOWN-RED.txt lists that test. Any other failure does.
set -u
known=TestForwardRefusesRequestThatCrashesTargets
output="$(mktemp)"
trap 'rm -f "$output"' EXIT
if go test -race -short ./... >"$output" 2>&1; then
	cat "$output"
	exit 0
fi
cat "$output"
grep -q "^$known " KNOWN-RED.txt || exit 1
failed_tests="$(sed -n 's/^ *--- FAIL: \([^ ]*\).*/\1/p' "$output" | sort -u)"
[ "$failed_tests" = "$known" ] || exit 1
failed_packages="$(sed -n 's/^FAIL[[:space:]]\{1,\}\([^ 	]*\).*/\1/p' "$output" | sort -u)"
[ "$failed_packages" = "$(go list ./platform)" ] || exit 1
grep -q -e '^panic:' -e 'Error Trace:' -e '^fatal error:' "$output" && exit 1
races="$(grep -c '^WARNING: DATA RACE' "$output")"
checks="$(grep -c 'forward\.(\*watchdog)\.check()$' "$output")"
starts="$(grep -c 'forward\.(\*Handler)\.startWatchdog()$' "$output")"
[ "$races" -ge 1 ] && [ "$races" = "$checks" ] && [ "$races" = "$starts" ] || exit 1
echo "known failure, see KNOWN-RED.txt: $known"
