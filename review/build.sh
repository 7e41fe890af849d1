#!/bin/bash
# Builds the stand-ins of the review's cases. The program under review is built as
# deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
