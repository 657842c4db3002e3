#!/usr/bin/env bash
# Starts the stand-ins and the hosts of an example deployment on loopback, sends requests and prints what came back.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-sutokatha}
work=$(mktemp -d)
pids=()
failed=0
key="example-key-weddings"
cleanup() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

free_port() { # finds a run of 64 free ports
  local port
  for _ in $(seq 50); do
    port=$((20000 + RANDOM % 12000))
    if ! ss -Htln 2>/dev/null | awk '{print $4}' | sed 's/.*://' | awk -v a="$port" '$1>=a && $1<a+64{f=1} END{exit !f}'; then
      echo "$port"
      return
    fi
  done
  echo "no free ports" >&2
  return 1
}

first=$(free_port)
bin/redwingpick example "$deployment" --dir "$work" --first-port "$first" >/dev/null
bin/redwingpick check "$work"/catalogue/*.yaml "$work"/hosts/*.yaml >/dev/null

bin/redwingpick-standin --catalogue "$work/catalogue" --platform "127.0.0.1:$first" --runs "127.0.0.1:$((first + 1))" --cold-for 2s \
  >"$work/standin.log" 2>&1 &
pids+=($!)
operators=()
callers=()
declare -A host_pid
for settings in "$work"/hosts/*.yaml; do
  bin/redwingpickd --config "$settings" 2>"$settings.log" &
  pids+=($!)
  id=$(awk '/^host_id:/{print $2}' "$settings")
  host_pid[$id]=$!
  operators+=("$(awk '/^operator_address:/{print $2}' "$settings")")
  callers+=("$(awk '/^address:/{print $2}' "$settings")")
done
joined=$(IFS=,; echo "${callers[*]}")

echo "waiting for ${#callers[@]} hosts"
for address in "${operators[@]}"; do
  for _ in $(seq 200); do
    curl -fs "http://$address/readyz" >/dev/null 2>&1 && break
    sleep 0.1
  done
done

printf '%-28s %-10s %-22s %-20s %-8s %s\n' request result host backend_server version detail
row() { # name expected-result command...
  local name=$1 expected=$2 result=done detail line
  shift 2
  if ! line=$("$@" --output json 2>"$work/error"); then
    result=$(sed -E 's/^redwingpick: ([a-z_]+): ([a-z_]+):.*/\1\/\2/' "$work/error")
  fi
  local host backend version
  host=$(sed -n 's/.*"Host": "\(.*\)",/\1/p' <<<"$line")
  backend=$(sed -n 's/.*"BackendServer": "\(.*\)",/\1/p' <<<"$line")
  version=$(sed -n 's/.*"Version": "\(.*\)",/\1/p' <<<"$line")
  detail=$(sed -n 's/.*"Text": "\([^ ]*\).*/\1/p' <<<"$line")
  printf '%-28s %-10s %-22s %-20s %-8s %s\n' "$name" "$result" "$host" "$backend" "$version" "$detail"
  if [[ "$result" != "$expected" ]]; then
    echo "  expected $expected: $(cat "$work/error")"
    failed=1
  fi
}
ask=(bin/redwingpick request --host "$joined")
for i in 1 6 11; do
  row "weddings, adapter $i" done "${ask[@]}" --key "$key" --model "$(printf 'adapter-%05d' $i)" --prompt "crest $i" --max-tokens 12
done
row "hotels, adapter 0" done "${ask[@]}" --key example-key-hotels --model adapter-00000 --prompt towels --max-tokens 12
row "gift-shops, adapter 2" done "${ask[@]}" --key example-key-gift-shops --model adapter-00002 --prompt names --max-tokens 12
row "another account's adapter" not_run/forbidden "${ask[@]}" --key "$key" --model adapter-00000 --prompt x
row "unknown key" not_run/unauthorized "${ask[@]}" --key no-such-key --model adapter-00001 --prompt x
row "open to all, no key" done "${ask[@]}" --key "" --model adapter-00499 --prompt x --max-tokens 4
row "more than its burst" not_run/too_large "${ask[@]}" --key example-key-back-office --model adapter-00004 --prompt x --max-tokens 2000
row "order, not to be repeated" done "${ask[@]}" --key "$key" --service order-desk --prompt "order-$RANDOM"

echo "withdrawing the key of gift-shops"
awk '/id: gift-shops/{gift=1} gift&&/digest:/{sub(/digest: .*/,"digest: \"" sprintf("%064d",0) "\"");gift=0} {print}' "$work/catalogue/accounts.yaml" >"$work/accounts.new"
curl -fs -X PUT --data-binary @"$work/accounts.new" "http://127.0.0.1:$first/edit/accounts" >/dev/null
sleep 3
row "withdrawn key" not_run/unauthorized "${ask[@]}" --key example-key-gift-shops --model adapter-00002 --prompt names

victim=$(bin/redwingpick locate --host "$joined" --model adapter-00001 | awk 'NR==1{print $1}')
echo "killing $victim, which owns the backend server of adapter-00001, under 12 requests"
for i in $(seq 12); do
  bin/redwingpick request --host "$joined" --key "$key" --model adapter-00001 --prompt "layout $i" --max-tokens 60 --output json >"$work/out.$i" 2>"$work/err.$i" &
  requests[i]=$!
done
sleep 0.6
kill -KILL "${host_pid[$victim]}"
whole=0
cut=0
for i in $(seq 12); do
  if wait "${requests[i]}"; then whole=$((whole + 1)); else cut=$((cut + 1)); fi
done
echo "whole answers $whole, cut answers $cut"
if [[ $cut != 0 ]]; then failed=1; sort "$work"/err.* | uniq -c; fi
row "after the kill" done "${ask[@]}" --key "$key" --model adapter-00001 --prompt again --max-tokens 12
bin/redwingpick accounts --operator "$(printf '%s\n' "${operators[@]}" | sed -n 2p)" 2>/dev/null || true

runs=$(curl -fs "http://127.0.0.1:$((first + 1))/")
if grep -q '"keys_seen":0' <<<"$runs"; then echo "no backend server has seen a key"; else echo "a backend server has seen a key"; failed=1; fi
if cat "$work"/hosts/*.log | grep -q '"event":11,'; then echo "an invariant was broken"; grep -h '"event":11,' "$work"/hosts/*.log | head -3; failed=1; fi
if [[ $failed == 0 ]]; then echo "demo passed"; else echo "demo failed"; exit 1; fi
