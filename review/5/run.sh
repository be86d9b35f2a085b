#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review exec python3 review/5/case.py
