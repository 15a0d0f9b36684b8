#!/usr/bin/env bash
# The scripts start the bundle that the deploy file builds (target/main.cjs) and stand-ins in plain JavaScript that need only
# Node.js, so nothing has to be compiled: this checks that they can be parsed and that the bundle is there.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-9]/run.mjs; do
  node --check "$file"
done
test -f ../target/main.cjs || { echo "target/main.cjs is missing: run the build of deploy/system.toml first" >&2; exit 1; }
