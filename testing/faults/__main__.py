"""Run many seeds by hand: ``make faults SEEDS='0 1 2'``."""

from __future__ import annotations

import click

from testing.faults import seeds as seeds_module


@click.command()
@click.argument("seeds", nargs=-1, type=int, required=True)
@click.option(
    "--shrink",
    is_flag=True,
    help="remove steps that the failure does not need",
)
@click.option(
    "--show", is_flag=True, help="print the schedules without running them"
)
def main(seeds: tuple[int, ...], shrink: bool, show: bool) -> None:
    """Run seeds and print violations; exit 1 if there are any."""
    if show:
        for seed in seeds:
            _print(seeds_module.draw(seed))
        return
    failed = []
    for seed in seeds:
        try:
            violations = seeds_module.run(seed)
        except TimeoutError as error:
            violations = [str(error)]
        click.echo(f"seed {seed}: {violations or 'passed'}")
        if violations:
            failed.append(seed)
            _print(seeds_module.shrink(seed) if shrink else [])
    click.echo(f"{len(seeds) - len(failed)} passed, failed: {failed}")
    raise SystemExit(1 if failed else 0)


def _print(steps: list) -> None:
    for step in steps:
        click.echo(f"    {step.kind} {step.action} {step.place}")


if __name__ == "__main__":
    main()
