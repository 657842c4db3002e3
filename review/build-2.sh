#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/, beside the daemon, with nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
go build -o ../../target/review-standins-2 .
