#!/bin/sh
# Builds the stand-ins of the scripts: they are Python and only compiled.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review
