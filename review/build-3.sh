#!/bin/sh
# Builds the stand-ins of the cases of the third review. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/cases ./review/standin-3
