#!/bin/bash
# Builds the project's own stand-ins (store and targets), which the scripts of review/6 to review/10 start. Needs the libraries, no network.
set -e
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent --no-audit --no-fund
npx tsc -b
