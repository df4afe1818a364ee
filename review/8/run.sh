#!/bin/sh
# Case 8. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$root/target/review-2/standin" ] || { echo "review/build-2.sh has not run" >&2; exit 2; }
exec "$root/target/review-2/standin" long-history "$root" "$folder/record.txt"
