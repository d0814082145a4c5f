#!/usr/bin/env bash
# Starts the stand-ins, six entry processes and six baseline processes of each
# deployment, runs the load generator and stops exactly what it started.
# Usage: measure.sh PYTHON [--deployment NAME] [options of nutmegstep.measure]
set -euo pipefail
cd "$(dirname "$0")/.."
python=${1:?usage: measure.sh PYTHON [--deployment NAME] [OPTIONS]}
shift
deployments=(vidzeme lothian)
options=()
while [ $# -gt 0 ]; do
    case $1 in
        --deployment) deployments=("$2"); shift 2 ;;
        *) options+=("$1"); shift ;;
    esac
done
output=build/measure/phases.jsonl
rm -rf build/measure
mkdir -p build/measure
started=()
entries=()

# stop PID...: ends processes of this script and waits for them.
stop() {
    [ $# -eq 0 ] && return
    kill "$@" 2>/dev/null || true
    wait "$@" 2>/dev/null || true
}

# Entry processes drain while the platform still answers them.
stop_all() {
    stop "${entries[@]}"
    entries=()
    stop "${started[@]}"
    started=()
}
trap stop_all EXIT

wait_for() {
    for _ in $(seq 400); do
        [ -s "$1" ] && return
        sleep 0.05
    done
    echo "no $1 after 20 s" >&2
    return 1
}

# start_entry SIDE NUMBER COMMAND...: the domain follows from the number.
start_entry() {
    local name=$directory/$1-$2 domain=$(( ($2 - 1) % 3 + 1 )) host=127.0.0.$2
    shift 2
    "$@" --host "$host" --platform "$platform" --port-file "$name.port" &
    entries+=($!)
    echo $! > "$name.pid"
    echo "$domain" > "$name.domain"
}

# Runs operators' commands that the load generator asks for.
serve_operator() {
    local action domain outcome
    while sleep 0.05; do
        [ -s "$directory/operator.request" ] || continue
        read -r action domain < "$directory/operator.request"
        rm "$directory/operator.request"
        outcome=failed
        "$python" -m nutmegstep "$action" "$domain" --platform "$platform" \
            > "$directory/operator.log" 2>&1 && outcome=done
        echo "$outcome" > "$directory/operator.partial"
        mv "$directory/operator.partial" "$directory/operator.reply"
    done
}

status=0
for deployment in "${deployments[@]}"; do
    directory=build/measure/$deployment
    mkdir -p "$directory"
    for domain in 1 2 3; do
        "$python" -m nutmegstep.standins --deployment "$deployment" \
            --directory "$directory" --domain "$domain" &
        started+=($!)
    done
    wait_for "$directory/platform.port"
    platform=127.0.0.1:$(cat "$directory/platform.port")
    seeds=
    for number in 1 2 3 4 5 6; do
        start_entry product "$number" "$python" -m nutmegstep serve \
            --failure-domain "domain-$(( (number - 1) % 3 + 1 ))" \
            --vm-name "entry-$number" --peer-host "127.0.0.$number" \
            --peer-port-file "$directory/peer-$number.port" \
            --seeds "$seeds" --log-level warning
        wait_for "$directory/peer-$number.port"
        seeds=${seeds:+$seeds,}$(cat "$directory/peer-$number.port")
        start_entry baseline "$number" "$python" -m nutmegstep.measure.baseline
    done
    for number in 1 2 3 4 5 6; do
        wait_for "$directory/product-$number.port"
        wait_for "$directory/baseline-$number.port"
    done
    serve_operator &
    started+=($!)
    "$python" -m nutmegstep.measure --deployment "$deployment" \
        --directory "$directory" --output "$output" "${options[@]}" || status=$?
    stop_all
done
exit "$status"
