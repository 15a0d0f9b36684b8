#!/bin/sh
# Prepares the scripts of review/6 to review/10. Their stand-ins are plain JavaScript in review/lib-2, run as they are, so there is
# nothing to compile: it is checked that they can be loaded and that the build of the deploy file has made the program.
set -eu
cd "$(dirname "$0")/.."
test -f target/main.cjs || node scripts/build-program.mjs
for file in review/lib-2/*.mjs review/6/case.mjs review/7/case.mjs review/8/case.mjs review/9/case.mjs review/10/case.mjs; do
  node --check "$file"
done
