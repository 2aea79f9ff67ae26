#!/bin/sh
# Builds what the scripts of the second review start besides the programs of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -buildvcs=false -o bin/review2 ./review/standin2
