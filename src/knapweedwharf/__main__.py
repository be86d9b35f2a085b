"""Run the command line: ``python -m knapweedwharf``."""

from __future__ import annotations

from knapweedwharf.cli import main

if __name__ == "__main__":
    main.run()
