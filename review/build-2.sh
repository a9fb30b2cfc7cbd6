#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into review/bin. The project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/second
