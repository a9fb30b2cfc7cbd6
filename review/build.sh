#!/bin/bash
# Builds the stand-ins of the cases into review/bin. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/ ./review/driver
