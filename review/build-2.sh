#!/usr/bin/env bash
# Builds the stand-ins that the cases 4 to 8 start: the project's own stand-in
# of the store. The others are plain scripts. Run it in the repository's root
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b platform
