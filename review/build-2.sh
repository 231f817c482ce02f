#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs the build of deploy/system.toml for the
# programs that they start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/second ./review/_second/platform
