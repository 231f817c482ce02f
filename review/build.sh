#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The program under test is
# built by the command of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/platform ./review/_standins/platform
