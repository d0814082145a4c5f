#!/usr/bin/env bash
# Runs dist/nutmegstep as an entry process and prints start time, sizes and
# memory. Fails when the process has a child or another number than the one
# that was started, when it uses io_uring or shared memory, when it does not
# answer a query or stop on SIGTERM with exit code 0, or when the launcher
# accepts a damaged archive or a directory that others can write.
set -euo pipefail
cd "$(dirname "$0")/.."
python=${1:?usage: check.sh PYTHON}
directory=build/check
rm -rf "$directory"
mkdir -p "$directory/unpacked"
export NUTMEGSTEP_UNPACK_DIR=$PWD/$directory/unpacked
started=()
trap 'kill "${started[@]}" 2>/dev/null || true; wait || true' EXIT

wait_for() {
    for _ in $(seq 2000); do
        [ -s "$1" ] && return
        sleep 0.01
    done
    echo "no $1 after 20 s" >&2
    return 1
}

milliseconds() { echo $(( $(date +%s%N) / 1000000 )); }

"$python" -m nutmegstep.standins --deployment vidzeme --directory "$directory" \
    --entry-vms 1 &
started+=($!)
wait_for "$directory/platform.port"
platform=127.0.0.1:$(cat "$directory/platform.port")
# Peers of each other: a target is warmed by a VM that all others give way to.
seeds=
domain=0
for run in first second; do
    domain=$(( domain + 1 ))
    begin=$(milliseconds)
    dist/nutmegstep serve --platform "$platform" \
        --failure-domain "domain-$domain" --vm-name "vm-$domain" \
        --seeds "$seeds" --log-level warning \
        --peer-port-file "$directory/peer-$run.port" \
        --port-file "$directory/entry-$run.port" &
    pid=$!
    started+=("$pid")
    wait_for "$directory/entry-$run.port"
    echo "$run start: $(( $(milliseconds) - begin )) ms until it listens"
    seeds=$(cat "$directory/peer-$run.port")
done
"$python" -m nutmegstep.demo --directory "$directory"
children=$(cat /proc/"$pid"/task/*/children)
if [ -n "$children" ]; then
    echo "process $pid has children: $children" >&2
    exit 1
fi
case $(readlink "/proc/$pid/exe") in
    "$NUTMEGSTEP_UNPACK_DIR"/*) ;;
    *) echo "process $pid does not run the unpacked program" >&2; exit 1 ;;
esac
echo "children of process $pid: none"
if readlink /proc/"$pid"/fd/* | grep io_uring; then
    echo "process $pid has an io_uring descriptor" >&2
    exit 1
fi
if grep -E ' .w.s |/dev/shm|/SYSV|/memfd:|io_uring' "/proc/$pid/maps"; then
    echo "process $pid has a mapping of shared memory" >&2
    exit 1
fi
echo 'io_uring and shared memory: none'
grep -E 'VmHWM|VmRSS|Threads' "/proc/$pid/status"
code=0
kill -TERM "$pid"
wait "$pid" || code=$?
if [ "$code" -ne 0 ]; then
    echo "process $pid exited with $code after SIGTERM" >&2
    exit 1
fi
echo 'exit code after SIGTERM: 0'

# refused MESSAGE BINARY: the launcher must exit 127 with the message.
refused() {
    local code=0
    "$2" --help > "$directory/refused.log" 2>&1 || code=$?
    if [ "$code" -ne 127 ] || ! grep -q "$1" "$directory/refused.log"; then
        echo "launcher exited $code, expected 127 with: $1" >&2
        cat "$directory/refused.log" >&2
        exit 1
    fi
}

chmod o+w "$NUTMEGSTEP_UNPACK_DIR"/nutmegstep-*
refused 'does not belong to this user alone' dist/nutmegstep
chmod o-w "$NUTMEGSTEP_UNPACK_DIR"/nutmegstep-*
size=$(stat -c %s dist/nutmegstep)
cp dist/nutmegstep "$directory/damaged"
# Zeros in the middle of the archive; the trailer stays whole.
dd if=/dev/zero of="$directory/damaged" bs=4096 count=16 conv=notrunc \
    seek=$(( size / 8192 )) status=none
mkdir "$directory/empty"
NUTMEGSTEP_UNPACK_DIR=$PWD/$directory/empty \
    refused 'truncated or damaged' "$directory/damaged"
if [ -n "$(ls "$directory/empty")" ]; then
    echo 'the launcher left files of a damaged archive behind' >&2
    exit 1
fi
echo 'launcher: refused a damaged archive and a writable directory'
echo "binary: $(stat -c %s dist/nutmegstep) bytes"
echo "unpacked: $(du -sb "$NUTMEGSTEP_UNPACK_DIR" | cut -f1) bytes"
