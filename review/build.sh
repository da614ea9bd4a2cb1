#!/bin/sh
# Builds the stand-in of the platform's store. The other stand-ins of the cases
# are plain JavaScript in review/lib. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
npx tsc -b packages/trials
