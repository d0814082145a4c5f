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
entries=()
# Entry processes stop first, so that they can still reach the platform.
stop_all() {
    [ ${#entries[@]} -eq 0 ] || kill "${entries[@]}" 2>/dev/null || true
    [ ${#entries[@]} -eq 0 ] || wait "${entries[@]}" 2>/dev/null || true
    [ ${#started[@]} -eq 0 ] || kill "${started[@]}" 2>/dev/null || true
    wait || true
}
trap stop_all EXIT

wait_for() {
    for _ in $(seq 200); do
        [ -s "$1" ] && return
        sleep 0.05
    done
    echo "no $1 after 10 s" >&2
    return 1
}

"$python" -m nutmegstep.standins --deployment "$deployment" --directory "$directory" \
    --entry-vms 1 &
started+=($!)
wait_for "$directory/platform.port"
platform=127.0.0.1:$(cat "$directory/platform.port")
seeds=
for number in 1 2; do
    "$python" -m nutmegstep serve --host "127.0.0.$number" \
        --platform "$platform" --failure-domain "domain-$number" \
        --vm-name "vm-$number" --peer-host "127.0.0.$number" --seeds "$seeds" \
        --peer-port-file "$directory/peer-$number.port" \
        --port-file "$directory/entry-$number.port" --log-level warning &
    entries+=($!)
    wait_for "$directory/entry-$number.port"
    seeds=${seeds:+$seeds,}$(cat "$directory/peer-$number.port")
done
"$python" -m nutmegstep.demo --directory "$directory"
