#!/bin/sh
# Build the stand-ins of the cases. They use the standard library only.
set -e
cd "$(dirname "$0")"
rm -rf build
cp -R standins build
python3 -m compileall -q build
