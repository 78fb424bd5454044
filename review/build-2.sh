#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. The build of deploy/system.toml comes before it.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/kit2
