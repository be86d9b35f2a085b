"""Run many seeds by hand: ``make faults SEEDS='0 1 2'``."""

from __future__ import annotations

import click

from testing.faults import seeds as seeds_module


@click.command()
@click.argument("seeds", nargs=-1, type=int, required=True)
@click.option("--shrink", is_flag=True, help="leave out needless steps")
@click.option("--show", is_flag=True, help="print schedules, run nothing")
def main(seeds: tuple[int, ...], shrink: bool, show: bool) -> None:
    """Run seeds and print what broke; exit 1 if anything did."""
    if show:
        for seed in seeds:
            _print(seeds_module.draw(seed))
        return
    failed = []
    for seed in seeds:
        try:
            broken = seeds_module.run(seed)
        except TimeoutError as error:
            broken = [str(error)]
        click.echo(f"seed {seed}: {broken or 'held'}")
        if broken:
            failed.append(seed)
            _print(seeds_module.shrink(seed) if shrink else [])
    click.echo(f"{len(seeds) - len(failed)} held, broken: {failed}")
    raise SystemExit(1 if failed else 0)


def _print(steps: list) -> None:
    for step in steps:
        click.echo(f"    {step.kind} {step.action} {step.place}")


if __name__ == "__main__":
    main()
