#!/bin/sh
# Plays the case of this folder; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in review-2 verbenaseam-direct verbenaseam-rank; do
	[ -x "target/$program" ] || exit 2
done
exec target/review-2 endless-answer review/7
