"""Run benchmarks: ``python -m bench [name ...]``."""

from __future__ import annotations

import importlib
import pkgutil
import sys

import bench


def main(names: list[str]) -> int:
    """Run the named benchmarks, or all; exit 1 if a target is missed."""
    for module in pkgutil.iter_modules(bench.__path__):
        if not module.name.startswith("_"):
            importlib.import_module(f"bench.{module.name}")
    missed = 0
    for name in names or bench.BENCHES.names():
        print(f"== {name}")
        for figure in bench.BENCHES.get(name)():
            missed += figure.met is False
            print(_line(figure))
    print(f"targets missed: {missed}")
    return 1 if missed else 0


def _line(figure: bench.Figure) -> str:
    words = {True: "met", False: "MISSED", None: ""}
    verdict = words[figure.met]
    return (
        f"{figure.name:48} {figure.value:12.3f} {figure.unit:10} "
        f"{figure.target} {verdict}".rstrip()
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
