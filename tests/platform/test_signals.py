"""Signals to a gateway process that is starting."""

import os
import subprocess
import sys

_START = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == 'nutmegstep.platform.core':
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
runpy.run_module('nutmegstep.platform', run_name='__main__')
"""
"""Starts a gateway; sends SIGHUP as the first module is about to be imported."""
_EXIT_USAGE = 2


def test_reload_during_the_imports_does_not_end_the_process() -> None:
    """Guards against a process that ends by itself when its settings change in
    the 0.3 s that its imports take.

    Without settings it goes on to report them as missing.
    """
    variables = {
        name: text
        for name, text in os.environ.items()
        if not name.startswith('NUTMEGSTEP_')
    }
    ended = subprocess.run(
        (sys.executable, '-c', _START),
        env=variables,
        capture_output=True,
        timeout=30,
    )
    assert ended.returncode == _EXIT_USAGE
    assert ended.stderr.startswith(b'nutmegstep: ')
