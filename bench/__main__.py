"""Run benchmarks: ``python -m bench [name ...]``."""

from __future__ import annotations

import importlib
import pkgutil
import sys

import bench


def main(names: list[str]) -> int:
    """Run the named benchmarks, or all; return 1 if a target is missed."""
    for module in pkgutil.iter_modules(bench.__path__):
        if not module.name.startswith("_"):
            importlib.import_module(f"bench.{module.name}")
    missed = 0
    for name in names or bench.BENCHMARKS.names():
        print(f"== {name}")
        for figure in bench.BENCHMARKS.get(name)():
            missed += figure.met is False
            print(_format_figure(figure))
    print(f"targets missed: {missed}")
    return 1 if missed else 0


def _format_figure(figure: bench.Figure) -> str:
    verdicts = {True: "met", False: "MISSED", None: ""}
    verdict = verdicts[figure.met]
    return (
        f"{figure.name:48} {figure.value:12.3f} {figure.unit:10} "
        f"{figure.target} {verdict}".rstrip()
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
