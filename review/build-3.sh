#!/bin/sh
# Builds the stand-in that the scripts of review/9 to review/13 start. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -o target/stand3 ./review/_stand3
