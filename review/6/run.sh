#!/bin/sh
# Shows the case with three gateways; see claim.txt. TROUBLE=0 leaves out the disruptions.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
program=target/review/release/upgraded_forward
[ -x "$program" ] && [ -x target/release/jacinthpoint ] || exit 2
exec "$program" "$folder/record.txt"
