#!/usr/bin/env bash
# Builds dist/nutmegstep: launcher, archive of a PyInstaller directory, trailer.
set -euo pipefail
cd "$(dirname "$0")/.."
python=${1:?usage: build.sh PYTHON}
work=build/package
rm -rf "$work"
mkdir -p "$work" dist
export PYINSTALLER_CONFIG_DIR=$PWD/$work/config
# Tools for development and measurement stay out of the binary. pydantic and
# returns have plugins for mypy and hypothesis, which would bring both along.
"$python" -m PyInstaller --onedir --strip --noconfirm --log-level WARN \
    --name nutmegstep --distpath "$work/dist" --workpath "$work/work" \
    --specpath "$work" --collect-submodules nutmegstep.cli \
    --exclude-module hdrh --exclude-module grpc_tools \
    --exclude-module pytest --exclude-module tkinter \
    --exclude-module mypy --exclude-module hypothesis \
    --exclude-module setuptools --exclude-module ast_serialize \
    nutmegstep/__main__.py
flags=(-std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror)
archive=$work/archive
# A fixed owner, order and date give the same digest for the same content.
tar --format=ustar --sort=name --owner=0 --group=0 --numeric-owner \
    --mtime=@0 -C "$work/dist/nutmegstep" -cf "$archive" .
probe='#include <zlib.h>
int main(void) { return zlibVersion() == NULL; }'
if gcc -static -x c -o "$work/probe" - -x none -lz <<< "$probe"; then
    gcc "${flags[@]}" -static -o "$work/launcher" packaging/launcher.c -lz
    gzip -9 -n -c "$archive" > "$archive.gz"
    archive=$archive.gz
else
    echo 'zlib cannot be linked statically: the archive stays uncompressed' >&2
    gcc "${flags[@]}" -DPLAIN_ARCHIVE -o "$work/launcher" packaging/launcher.c
fi
digest=$(sha256sum "$archive" | cut -c1-16)
size=$(stat -c %s "$archive")
cat "$work/launcher" "$archive" > "$work/binary"
printf 'NUTMEGPK%s%020d' "$digest" "$size" >> "$work/binary"
chmod 755 "$work/binary"
mv "$work/binary" dist/nutmegstep
ls -l dist/nutmegstep
