#!/bin/sh
# Builds the stand-ins of the cases of the second review. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/cases ./review/standin-2
