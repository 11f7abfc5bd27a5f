#!/usr/bin/env bash
# Runs a small corianderpass on loopback: the stand-in platform, two entries, three
# agents with their minions. It rolls a signed bundle, sends requests and a gang
# job, prints the bundle version in force at each process, and stops everything it started.
set -euo pipefail
bin=${1:?directory with the built programs}
dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop EXIT
start() { "$@" >>"$dir/log" 2>&1 & pids+=($!); }
now() { date +%s%N; }
since() { echo "$(( ($(now) - $1) / 1000000 )) ms"; }
cp() { "$bin/corianderpass" "$@"; }
platform=127.0.0.1:17900
begin=$(now)

ana=$(cp bundle key --name ana --out "$dir/ana.key")
bela=$(cp bundle key --name bela --out "$dir/bela.key")
token=$(head -c 24 /dev/urandom | base64)
echo "$token" >"$dir/token"
digest=$(printf %s "$token" | sha256sum | cut -d' ' -f1)

cat >"$dir/bundle.toml" <<TOML
ApprovalsNeeded = 1
[[Operators]]
Name = "ana"
PublicKey = "$ana"
[[Operators]]
Name = "bela"
PublicKey = "$bela"
[[Organisations]]
Name = "audit"
HomeRegion = "Mazowsze"
Share = 2
TokenDigests = ["$digest"]
[[Organisations.Guarantees]]
Name = "reconciliation"
Region = "Mazowsze"
Tasks = 4
Accelerators = 4
Cores = 16
Memory = 1024
[[Services]]
Name = "evidence"
TOML

start "$bin/corianderpass-standin" platform --address "$platform"
for i in 1 2; do
  other=$((3 - i))
  cat >"$dir/entry$i.toml" <<TOML
Name = "entry$i"
Region = "Mazowsze"
FailureDomain = "Mazowsze-d0$i"
CallerAddress = "127.0.0.1:1700$i"
LinkAddress = "127.0.0.1:1710$i"
AdminAddress = "127.0.0.1:1720$i"
PlatformAddress = "$platform"
Peers = ["127.0.0.1:1710$other"]
NoticeTime = "200ms"
[[RootOperators]]
Name = "ana"
PublicKey = "$ana"
[[RootOperators]]
Name = "bela"
PublicKey = "$bela"
TOML
  start "$bin/corianderpass" entry --settings "$dir/entry$i.toml"
done
for i in 1 2 3; do
  cat >"$dir/agent$i.toml" <<TOML
Name = "agent$i"
Region = "Mazowsze"
FailureDomain = "Mazowsze-d0$i"
LinkAddress = "127.0.0.1:1730$i"
LocalAddress = "127.0.0.1:1740$i"
Entries = ["127.0.0.1:17101", "127.0.0.1:17102"]
TOML
  start "$bin/corianderpass" agent --settings "$dir/agent$i.toml"
  start "$bin/corianderpass-standin" minion --address "127.0.0.1:1750$i" --agent "127.0.0.1:1740$i"
done

entry=127.0.0.1:17001
second=127.0.0.1:17002
ana_flags=(--address "$entry" --key "$dir/ana.key")
bela_flags=(--address "$second" --key "$dir/bela.key")
try() { for _ in $(seq 100); do "$@" >"$dir/out" 2>"$dir/err" && { cat "$dir/out"; return 0; }; sleep 0.1; done; cat "$dir/err" >&2; return 1; }

echo "== a signed bundle"
draft=$(try cp bundle draft "${ana_flags[@]}" "$dir/bundle.toml")
try cp bundle approve "${bela_flags[@]}" "$draft"
rolled=$(now)
try cp bundle roll "${ana_flags[@]}" "$draft"
for _ in $(seq 100); do
  try cp status "${bela_flags[@]}" >"$dir/status"
  grep -q '^0 of 5 processes lag' "$dir/status" && break
  sleep 0.05
done
cat "$dir/status"
echo "in force at all processes after $(since "$rolled")"

caller=(--address "$entry" --token-file "$dir/token")
other=(--address "$second" --token-file "$dir/token")
echo "== requests"
try cp request "${caller[@]}" --service evidence --repeatable "invoice 1"
try cp request "${caller[@]}" --service evidence --id note-7 "delivery note 7"
echo "the same request ID through the other entry:"
try cp request "${other[@]}" --service evidence --id note-7 "delivery note 7"

echo "== a gang job"
submitted=$(now)
try cp job submit "${caller[@]}" --id reconcile-1 --tasks 4 --accelerators 4 --cores 8 --run-time 1s --wait work 1s
echo "job took $(since "$submitted")"
echo "== done in $(since "$begin")"
