"""Run the soak for a number of seeds: `python -m soak --seeds 50 --seconds 20 --nodes 8`."""

from __future__ import annotations

import random
import shutil
import signal
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from soak.runs import RunPlan, draw_topology, run_soak
from soak.seeds import REGRESSIONS

if TYPE_CHECKING:
    from types import FrameType

SEED_LIMIT = 2**31


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.", min=1)] = 1,
    first: Annotated[int, typer.Option(help="First seed; 0 draws random seeds.")] = 0,
    seconds: Annotated[
        float, typer.Option(help="Duration of fault injection per seed, in s.")
    ] = 20.0,
    nodes: Annotated[int, typer.Option(help="Node processes.", min=2, max=200)] = 6,
    network: Annotated[int, typer.Option(help="Second octet of all addresses.")] = 60,
    breakage: Annotated[str, typer.Option(help="Deliberate breakage to apply to all nodes.")] = "",
    regressions: Annotated[bool, typer.Option(help="Run regression seeds first.")] = True,
    out: Annotated[Path, typer.Option(help="Directory for the logs of failed seeds.")] = Path(
        "out/soak"
    ),
) -> None:
    """Run seeds one after the other; exit with code 1 if any guarantee was violated."""
    signal.signal(signal.SIGTERM, _handle_sigterm)
    plans = [entry.plan for entry in REGRESSIONS] if regressions and not breakage else []
    chosen = range(first, first + seeds) if first else _draw_seeds(seeds)
    plans += [
        RunPlan(seed, nodes, seconds, breakage, draw_topology(seed), ends_workers=True)
        for seed in chosen
    ]
    failed = 0
    for plan in plans:
        folder = out / f"seed-{plan.seed}"
        shutil.rmtree(folder, ignore_errors=True)
        began = time.monotonic()
        report = run_soak(plan, folder=folder, network=network)
        verdict = "holds" if report.has_passed else "BROKEN"
        typer.echo(
            f"seed {plan.seed}: {verdict}; {report.faults} faults, {report.versions} versions, "
            f"{report.calls} calls, {report.answered} answered, {time.monotonic() - began:.0f} s"
        )
        for text in report.violations[:10]:
            typer.echo(f"  {text}")
        failed += not report.has_passed
        if report.has_passed:
            shutil.rmtree(folder)
    raise typer.Exit(1 if failed else 0)


def _handle_sigterm(_number: int, _frame: FrameType | None) -> None:
    raise SystemExit(1)


def _draw_seeds(count: int) -> list[int]:
    rng = random.SystemRandom()
    return [rng.randrange(1, SEED_LIMIT) for _ in range(count)]


if __name__ == "__main__":
    typer.run(main)
