#!/usr/bin/env bash
# Runs an entry and two agents on a stand-in of the users' platform and runs a job.
set -euo pipefail
bin=$1
dir=$(mktemp -d)
pids=()
finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait
	rm -rf "$dir"
}
trap finish EXIT
"$bin/corianderpass-platform-standin" --dir "$dir" >"$dir/standin.log" &
pids+=($!)
until [ -s "$dir/standin.log" ]; do sleep 0.1; done
for process in front side-1 side-2; do
	role=agent
	[ "$process" = front ] && role=entry
	"$bin/corianderpass" platform "$role" --settings "$dir/$process.toml" >"$dir/$process.log" &
	pids+=($!)
done
callers=127.0.0.1:17301
until curl -sf "http://127.0.0.1:17302/ready"; do sleep 0.2; done
call() { curl -s -H 'Host: jobs.example' -H 'Authorization: Bearer demo' "$@"; }
job=00000000000000a1
echo "submit job $job: three tasks, then a gang of two"
call -X POST "http://$callers/batch/$job" -d '{"spec":"demo","steps":[
	{"task_count":3,"cpu":1000,"mem_mb":100,"gpus":1,"estimate_ms":1000},
	{"task_count":2,"cpu":1000,"mem_mb":100,"gpus":2,"gang":true,"depends_on":[0],"estimate_ms":1000}]}'
echo
state=
until [ "$state" = '{"state":"completed"}' ]; do
	sleep 0.5
	state=$(call "http://$callers/batch/$job")
	echo "$state"
done
grep -h '"@message":"\(place\|end\)"' "$dir"/*.log | cut -c1-200
