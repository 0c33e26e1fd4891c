"""The command `experiment`."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Annotated

import msgspec
import typer

from trefoilpick._console import console, create_table, report_errors
from trefoilpick._experiment_workload import SLOTS, SPEEDS, WORKERS, MeshShape

if TYPE_CHECKING:
    from trefoilpick.experiments import ExperimentResult, Pattern

DEFAULT_SEED = 1

MS_PER_S = 1_000


def experiment(
    patterns: Annotated[
        list[str] | None, typer.Argument(help="Names of patterns; all patterns if omitted.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of all random choices.")] = DEFAULT_SEED,
    policies: Annotated[
        list[str] | None, typer.Option("--policy", help="Names of policies; all if omitted.")
    ] = None,
    load: Annotated[
        float | None, typer.Option(min=0.01, help="Load, as a share of the capacity.")
    ] = None,
    workers: Annotated[int, typer.Option(min=1, help="Number of workers and nodes.")] = WORKERS,
    slots: Annotated[int, typer.Option(min=1, help="Slots of a worker.")] = SLOTS,
    speeds: Annotated[
        list[float] | None,
        typer.Option("--speed", min=0.01, help="Speeds of workers, assigned in turn."),
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON line per pattern and policy.")
    ] = False,
) -> None:
    """Simulate patterns of load and faults under several policies."""
    # Imported here so that a node does not load the experiments into its memory.
    from trefoilpick.experiments import find_patterns, find_policies, run_experiment

    with report_errors():
        chosen = find_patterns(patterns or ())
        chosen_policies = find_policies(policies or ())
    shape = MeshShape(workers, slots, tuple(speeds or SPEEDS))
    for pattern in chosen:
        pattern = pattern if load is None else replace(pattern, load=load)
        results = {
            name: run_experiment(pattern, policy, seed=seed, shape=shape)
            for name, policy in chosen_policies.items()
        }
        if as_json:
            for name, result in results.items():
                line = {"pattern": pattern.name, "policy": name, "earned": result.earned_share}
                typer.echo(msgspec.json.encode(line | {"kinds": result.tallies}).decode())
        else:
            _show_results(pattern, results)


def _show_results(pattern: Pattern, results: dict[str, ExperimentResult]) -> None:
    table = create_table(f"{pattern.name}: {pattern.description}")
    table.add_column("policy")
    table.add_column("kind")
    for heading in ("calls", "in time", "late", "refused", "failed", "earned"):
        table.add_column(heading, justify="right")
    table.add_column("mean latency", justify="right")
    table.add_column("mean time to refusal", justify="right")
    for name, result in results.items():
        for kind, tally in result.tallies.items():
            table.add_row(
                name,
                kind,
                str(tally.asked),
                *(
                    f"{count / tally.asked:.0%}"
                    for count in (tally.in_time, tally.late, tally.refused, tally.failed)
                ),
                f"{tally.earned / tally.owed:.0%}",
                _format_mean(tally.waited_s, tally.in_time + tally.late),
                _format_mean(tally.refused_after_s, tally.refusals),
            )
        table.add_row(name, "all", *[""] * 5, f"{result.earned_share:.1%}", end_section=True)
    console.print(table)


def _format_mean(total_s: float, count: int) -> str:
    return f"{total_s / count * MS_PER_S:.0f} ms" if count else ""
