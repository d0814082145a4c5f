#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They are written in
# Python and use the standard library only, so there is nothing to compile; this
# checks that they can be read. The gateways come from the build of
# deploy/system.toml (target/deps).
set -eu
cd "$(dirname "$0")"
for one in lib.py [0-9]*/case.py; do
  [ -f "$one" ] || continue
  python3 - "$one" <<'P'
import pathlib, sys
compile(pathlib.Path(sys.argv[1]).read_text(), sys.argv[1], 'exec')
P
done
