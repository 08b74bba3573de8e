#!/usr/bin/env bash
# Verifies every specification in this folder exhaustively and checks that each mutant is rejected.
#
# A specification NAME.pml lists its mutants in lines "// mutant: MACRO". Defining that macro removes one
# guard, and the verifier must then find a violation; otherwise the property does not depend on the guard.
set -euo pipefail
cd "$(dirname "$0")"
for tool in spin cc; do
  if ! command -v "$tool" >/dev/null; then
    echo "the models need $tool; install the packages spin and gcc, for example with: apt-get install spin gcc" >&2
    exit 1
  fi
done
jobs=4 # one verification takes up to 0.5 GB
export models=$PWD
work=$(mktemp -d)
export work
trap 'rm -rf "$work"' EXIT

# verify NAME [MACRO] writes the verifier's report and a line with its figures to $work/NAME-MACRO.
verify() {
  local name=$1 macro=${2:-}
  local dir="$work/$name-$macro"
  mkdir -p "$dir"
  cd "$dir"
  spin ${macro:+-D"$macro"} -a "$models/$name.pml" >/dev/null
  cc -O2 -DSAFETY -DCOLLAPSE -w -o pan pan.c
  ./pan -m1000000 >report 2>&1 || true
  awk -v name="$name" -v macro="${macro:-none}" '
    /depth reached/ && /errors:/ {depth=$0; sub(/.*depth reached /,"",depth); sub(/,.*/,"",depth)}
    /errors:/ {errors=$NF}
    /states, stored/ {states=$1}
    END {printf "model=%s mutant=%s states=%s depth=%s errors=%s\n", name, macro, states, depth, errors}' report >line
}
export -f verify

# complete DIR succeeds if the verifier finished its search.
complete() {
  grep -q 'errors: [0-9]' "$1/report" && ! grep -q 'max search depth too small\|out of memory' "$1/report"
}

list() {
  local file
  for file in *.pml; do
    echo "${file%.pml}"
    sed -n "s|^// mutant: |${file%.pml} |p" "$file"
  done
}

list | xargs -P "$jobs" -L 1 bash -c 'set -euo pipefail; verify "$@"' verify

failed=0
while read -r name macro; do
  dir="$work/$name-$macro"
  cat "$dir/line"
  if ! complete "$dir"; then
    cat "$dir/report" >&2
    echo "model=$name mutant=${macro:-none} result=incomplete" >&2
    failed=1
  elif [ -z "$macro" ] && ! grep -q 'errors: 0' "$dir/report"; then
    echo "model=$name result=violated" >&2
    failed=1
  elif [ -n "$macro" ] && grep -q 'errors: 0' "$dir/report"; then
    echo "model=$name mutant=$macro result=not_rejected" >&2
    failed=1
  fi
done < <(list)
exit "$failed"
