#!/bin/sh
# Plays the case and writes what was sent, answered and run to record.txt beside this file.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and
# review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
record=$folder/record.txt
cd "$folder/../.." || exit 2
if [ ! -x target/savoryfoldd ] || [ ! -x target/review-case ]; then
  echo "not built: want target/savoryfoldd and target/review-case" | tee "$record"
  exit 2
fi
exec target/review-case crashes-split "$record" "${TROUBLE:-1}"
