#!/bin/sh
# Builds what the scripts of the third review (review/11 to 14) start besides the programs of the
# deploy file: the stand-ins of the store, the executors and the clients, in one program.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_third/platform
