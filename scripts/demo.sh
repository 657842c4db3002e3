#!/usr/bin/env bash
# Starts a stand-in for the users' platform and three hosts, sends requests, stops one host under load and explains a refused request.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
failed=0
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

first=$((20000 + RANDOM % 10000))
bin/redwingpick-standin play --dir "$work" --first-port "$first" >"$work/standin.log" &
pids+=($!)
for _ in $(seq 50); do [[ -s "$work/standin.log" ]] && break; sleep 0.1; done
hosts=()
for i in 0 1 2; do
  bin/redwingpickd --config "$work/host-$i.yaml" >"$work/host-$i.log" 2>&1 &
  hosts[i]=$!
  pids+=($!)
done
address() { echo "127.0.0.1:$((first + 5 * $1 + $2))"; }
operators="$(address 0 3),$(address 1 3),$(address 2 3)"
echo "waiting for three hosts and their leases"
for _ in $(seq 150); do
  held=$(bin/redwingpick status --operator "$(address 0 3)" 2>/dev/null | grep -c 'engines.*ordered by host' || true)
  [[ "$held" == 3 ]] && break
  sleep 0.1
done
sleep 2

ask() { # host id route key [model [tokens]]: prints the status
  bin/redwingpick-standin ask "$(address "$1" 0)" --id "$2" --route "$3" --key "$4" ${5:+--model "$5" --tokens "${6:-200,10}"} 2>/dev/null |
    cut -d' ' -f1
}
row() { # name expected actual
  printf '%-34s %-6s\n' "$1" "$3"
  if [[ "$2" != "$3" ]]; then echo "  expected $2"; failed=1; fi
}
row "a generation" 200 "$(ask 0 g1 stream example-key-large model/a1)"
row "the same adapter at another host" 200 "$(ask 1 g2 stream example-key-large model/a1)"
row "a request that must not be retried" 200 "$(ask 2 p1 once example-key-large)"
row "an unknown key" 401 "$(ask 0 u1 safe no-such-key)"
row "an unknown route" 404 "$(ask 0 n1 nowhere example-key-large)"
for i in $(seq 30); do ask 0 "q$i" safe example-key-small >/dev/null; done
row "an account over its rate" 429 "$(ask 0 over safe example-key-small)"

row "where a request would go" sent "$(bin/redwingpick where calls.example/safe/x --operator "$(address 1 3)" --account large --json |
  sed -n 's/.*"answer": "\(.*\)".*/\1/p')"

echo "stopping host-0 while it serves twelve streams"
for i in $(seq 12); do
  bin/redwingpick-standin ask "$(address 0 0)" --id "s$i" --route stream --key example-key-large --model "model/a$((i % 3))" \
    --tokens 200,250 >"$work/s$i" 2>&1 &
  streams[i]=$!
done
sleep 0.6
kill -TERM "${hosts[0]}"
complete=0
for i in $(seq 12); do
  wait "${streams[i]}" || true
  [[ "$(cat "$work/s$i")" == "200 250" ]] && complete=$((complete + 1))
done
row "complete responses of 12" 12 "$complete"
wait "${hosts[0]}" && code=0 || code=$?
row "exit code of the host" 0 "$code"

echo "why was the request with id over refused?"
bin/redwingpick explain over "$work"/host-*.log >"$work/explained"
head -3 "$work/explained"
if grep -h '"event":11,' "$work"/host-*.log; then echo "an invariant was broken"; failed=1; fi
if [[ $failed == 0 ]]; then echo "demo passed"; else echo "demo failed"; exit 1; fi
