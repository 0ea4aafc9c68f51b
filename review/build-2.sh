#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-2 ./review/_stand2
