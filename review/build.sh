#!/bin/bash
# Builds the stand-ins that the cases start. Run it after the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -buildvcs=false -o review/bin/ ./review/standin
