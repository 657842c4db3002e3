#!/usr/bin/env bash
# Takes one mechanism after another out of a scratch copy and checks that the randomised runs notice.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
missed=0
only=${1:-}
while IFS='|' read -r name file from to rule file2 from2 to2; do
  [[ -z "$name" || "$name" == \#* ]] && continue
  [[ -n "$only" && "$only" != "$name" ]] && continue
  rm -rf "$scratch/tree"
  mkdir "$scratch/tree"
  git -C "$root" ls-files -z | xargs -0 tar -C "$root" -cf - | tar -C "$scratch/tree" -xf -
  if ! grep -qF -- "$from" "$scratch/tree/$file"; then
    echo "$name: the mutated line is not in $file"
    missed=1
    continue
  fi
  FROM="$from" TO="$to" perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$scratch/tree/$file"
  if [[ -n "$file2" ]]; then
    FROM="$from2" TO="$to2" perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$scratch/tree/$file2"
  fi
  if (cd "$scratch/tree" && go test ./internal/exerciser -run '^TestSoak$|^TestProof' -seeds 25 -first-seed 1 -timeout 5m) >"$scratch/out" 2>&1; then
    echo "$name: NOT NOTICED"
    missed=1
  elif grep -q -- "$rule" "$scratch/out"; then
    echo "$name: noticed by $rule"
  else
    echo "$name: failed, but not by $rule"
    grep -oE '[a-z_]+: ' "$scratch/out" | sort | uniq -c | sort -rn | head -3
    missed=1
  fi
done <scripts/mutations.txt
exit $missed
