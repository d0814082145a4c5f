"""Log level of gRPC."""

import subprocess
import sys


def test_verbosity_is_set_before_grpc_is_imported() -> None:
    """Guards against lines of plain text of gRPC between the JSON log lines. It
    reads the variable when it is imported.
    """
    script = (
        'import os, sys, importlib.abc\n'
        'class Watch(importlib.abc.MetaPathFinder):\n'
        '    def find_spec(self, name, path, target=None):\n'
        '        if name == "grpc":\n'
        '            print(os.environ.get("GRPC_VERBOSITY"))\n'
        'sys.meta_path.insert(0, Watch())\n'
        'import nutmegstep.peers\n'
    )
    shown = subprocess.run(
        [sys.executable, '-c', script],
        check=True,
        capture_output=True,
        env={'PATH': ''},
    )
    assert shown.stdout.split() == [b'ERROR']
