#!/usr/bin/env bash
# Starts stand-ins and two entry processes, runs the demonstration client and
# stops exactly the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
python=${1:?usage: demo.sh PYTHON [DEPLOYMENT]}
deployment=${2:-vidzeme}
directory=build/demo
rm -rf "$directory"
mkdir -p "$directory"
started=()
trap 'kill "${started[@]}" 2>/dev/null || true; wait || true' EXIT

wait_for() {
    for _ in $(seq 200); do
        [ -s "$1" ] && return
        sleep 0.05
    done
    echo "no $1 after 10 s" >&2
    return 1
}

"$python" -m nutmegstep.standins --deployment "$deployment" --directory "$directory" &
started+=($!)
wait_for "$directory/platform.port"
platform=127.0.0.1:$(cat "$directory/platform.port")
for number in 1 2; do
    "$python" -m nutmegstep serve --host "127.0.0.$number" \
        --platform "$platform" --failure-domain "domain-$number" \
        --port-file "$directory/entry-$number.port" &
    started+=($!)
done
wait_for "$directory/entry-1.port"
wait_for "$directory/entry-2.port"
"$python" -m nutmegstep.demo --directory "$directory"
