#!/usr/bin/env bash
# Checks what the scripts of cases 11 to 15 start. The stand-ins are Python files of the
# standard library and need no build; the gateways are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'P'
import pathlib, sys
for path in ('review/stand3.py', *map(str, sorted(pathlib.Path('review').glob('1[1-5]/play.py')))):
    compile(pathlib.Path(path).read_text(encoding='utf-8'), path, 'exec')
if not pathlib.Path('target/deps/h11').is_dir():
    sys.exit('target/deps is missing: run the build line of deploy/system.toml first')
P
