#!/bin/sh
# Builds the stand-ins of review/6 to review/10. They are written with Python's
# standard library only (stage2.py), so there is nothing to fetch: this checks that
# the interpreter of the deploy file can load them and the gateway.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -B -c 'import ast, sys; [ast.parse(open(one).read(), one) for one in sys.argv[1:]]' review/stage2.py review/crowd2.py review/leaving2.py review/6/play.py review/7/play.py review/9/play.py review/10/play.py
PYTHONPATH=target/deps python3 -B -c 'import nutmegstep.platform'
