#!/usr/bin/env bash
# Verifies every specification in this folder exhaustively and checks that each mutant is rejected.
#
# A specification NAME.pml lists its mutants in lines "// mutant: MACRO". Defining that macro removes one
# guard, and the verifier must then find a violation; otherwise the property does not depend on the guard.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify FILE [MACRO] prints the verifier's report and returns 0 if it found no error.
verify() {
  local file=$1 macro=${2:-} name dir
  name=$(basename "$file" .pml)${macro:+-$macro}
  dir="$work/$name"
  mkdir -p "$dir"
  (cd "$dir" && spin ${macro:+-D$macro} -a "$OLDPWD/$file" >/dev/null && cc -O2 -DSAFETY -DCOLLAPSE -w -o pan pan.c)
  (cd "$dir" && ./pan -m1000000 >report 2>&1 || true)
  if ! grep -q 'errors: [0-9]' "$dir/report" || grep -q 'max search depth too small\|out of memory' "$dir/report"; then
    cat "$dir/report" >&2
    echo "model=$name result=incomplete" >&2
    exit 1
  fi
  awk -v name="$name" '/depth reached/ && /errors:/ {depth=$0; sub(/.*depth reached /,"",depth); sub(/,.*/,"",depth)}
    /errors:/ {errors=$NF} /states, stored/ {states=$1}
    END {printf "model=%s states=%s depth=%s errors=%s\n", name, states, depth, errors}' "$dir/report"
  grep -q 'errors: 0' "$dir/report"
}

failed=0
for file in *.pml; do
  [ -e "$file" ] || continue
  verify "$file" || { echo "model=$file result=violated" >&2; failed=1; }
  while read -r macro; do
    if verify "$file" "$macro"; then
      echo "model=$file mutant=$macro result=not_rejected" >&2
      failed=1
    fi
  done < <(sed -n 's|^// mutant: ||p' "$file")
done
exit "$failed"
