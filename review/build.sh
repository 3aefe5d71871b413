#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin/. Run from anywhere, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 1 2 3 4 5; do
	if [ -e "review/$n/main.go" ]; then
		go build -o "review/bin/case$n" "./review/$n"
	fi
done
