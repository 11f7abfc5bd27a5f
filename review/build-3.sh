#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for main in review/1[1-5]/main.go; do
  folder=$(dirname "$main")
  go build -o "target/review-3/case-$(basename "$folder")" "./$folder"
done
