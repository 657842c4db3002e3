#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, with nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standins"
go build -o ../../target/review-standins .
