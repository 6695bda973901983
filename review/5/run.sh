#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x build/review/case-5 ] && [ -x target/azurewind-sessiond ] || exit 2
export AZUREWIND_BUILD=build/review
exec timeout -k 5 110 build/review/case-5 "$here/record.txt"
