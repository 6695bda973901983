#!/bin/sh
# The stand-ins of the cases 7 to 10 are Python 3 programs (review/lib-2/) that need no build and no package; this
# checks that they can run.  The session daemon is that of the deploy file's build (target/azurewind-sessiond).
cd "$(dirname "$0")/.." || exit 1
test -x target/azurewind-sessiond || { echo "first run the build of deploy/system.toml" >&2; exit 1; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || { echo "Python 3.8 is needed" >&2; exit 1; }
for file in review/lib-2/*.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
