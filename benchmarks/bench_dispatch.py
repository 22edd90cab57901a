"""Measures the dispatch decisions under virtual time.

Run as `python benchmarks/bench_dispatch.py COMMAND`. All figures except those
of `scale` are reproducible: equal seeds give equal digits.
"""

from __future__ import annotations

import random
import time
import tracemalloc
import typing as t

import typer

from skylarkcleat.dispatch import dispatcher as dispatcher_lib
from skylarkcleat.dispatch import work as work_lib
from skylarkcleat.emulator import baselines
from skylarkcleat.emulator import figures
from skylarkcleat.emulator import scenarios
from skylarkcleat.emulator import simulation
from skylarkcleat.emulator import workload
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import dispatching

DECISIONS = 5_000
IN_FLIGHT = 40
TASKS_PER_JOB = 20

app = typer.Typer(add_completion=False, help=__doc__)


@app.command()
def steady(
    load: float = 0.8,
    span: float = 90.0,
    seeds: int = 2,
    declared: bool = True,
    first: int = 1,
    alone: bool = False,
) -> None:
    """Compares the policy and the baselines with two ideal schedules."""
    policies = [simulation.create_policy()]
    if not alone:
        policies.extend(baselines.create_variants())
        policies.extend(baselines.create_baselines())
    typer.echo(
        f"load {load}, seeds {first} to {first + seeds - 1} of {span} s, "
        f"declared {declared}"
    )
    for policy in policies:
        runs = []
        for seed in range(first, first + seeds):
            run = scenarios.create_steady(load, span, seed, declared)
            outcome = simulation.simulate(run.jobs, run.runners, policy, seed)
            runs.append((outcome, run))
        _print_comparison(policy.name, runs)


@app.command()
def flood(
    load: float = 0.5, span: float = 75.0, seeds: int = 2, first: int = 1
) -> None:
    """Measures the service that other work gets during a tenfold flood."""
    policy = simulation.create_policy()
    chosen = range(first, first + seeds)
    typer.echo(f"other work {load}, seeds {chosen} of {span} s")
    without_flood = _run_floods(load, span, chosen, None, policy)
    for name, urgency in (("least urgent", 0), ("most urgent", 9)):
        with_flood = _run_floods(load, span, chosen, urgency, policy)
        impact = figures.compare_flood(with_flood, without_flood)
        typer.echo(
            f"{name:14} goodput {impact.goodput:.3f}"
            f"  p50 {impact.ratios.p50:.2f}"
            f"  p99 {impact.ratios.p99:.2f}  p99.9 {impact.ratios.p999:.2f}"
            f"  waste {impact.waste:.4f}  jobs {impact.jobs}"
        )


@app.command()
def faults(load: float = 0.8, span: float = 60.0, seed: int = 1) -> None:
    """Measures runs with a fault of each kind in the middle."""
    policy = simulation.create_policy()
    for name, kind in scenarios.create_faults(span).items():
        run = scenarios.create_steady(load, span, seed, True, kind)
        _print_fault(name, run, policy, seed)
    burst = scenarios.create_burst(load, span, seed)
    _print_fault("burst", burst, policy, seed)


@app.command()
def scale() -> None:
    """Measures CPU time per decision and memory by fleet size."""
    for agents in (10, 100, 1_000, 13_000):
        tracemalloc.start()
        entry = _create_entry(agents)
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        cpu_us = _time_decisions(entry)
        typer.echo(
            f"{agents:6} agents: {cpu_us:6.1f} us a decision, "
            f"{memory / 1e6:.2f} MB"
        )


def _print_comparison(name: str, runs: list[figures.Run]) -> None:
    pooled = figures.compare_runs(runs)
    waste = max(outcome.find_waste() for outcome, _ in runs)
    lost = sum(len(o.refused) + len(o.failed) for o, _ in runs)
    typer.echo(
        f"{name:37} central {_join(pooled.central)}"
        f"  alone {_join(pooled.alone)} ({_join(pooled.central_alone)})"
        f"  waste {waste:.4f}  lost {lost}"
    )


def _print_fault(
    name: str,
    run: scenarios.Scenario,
    policy: simulation.Policy,
    seed: int,
) -> None:
    outcome = simulation.simulate(
        run.jobs, run.runners, policy, seed, run.faults
    )
    pooled = figures.compare_runs([(outcome, run)])
    typer.echo(
        f"{name:14} central {_join(pooled.central)}"
        f"  waste {outcome.find_waste():.4f}  jobs {len(run.jobs)}"
        f"  answered {len(outcome.responses)}  refused {len(outcome.refused)}"
        f"  failed {len(outcome.failed)}  cancelled {len(outcome.cancelled)}"
        f"  most running {outcome.most_running}  leaked {outcome.leaked}"
    )


def _run_floods(
    load: float,
    span: float,
    seeds: t.Sequence[int],
    urgency: int | None,
    policy: simulation.Policy,
) -> list[figures.Run]:
    runs = []
    for seed in seeds:
        run = scenarios.create_flood(load, span, seed, urgency)
        outcome = simulation.simulate(run.jobs, run.runners, policy, seed)
        runs.append((outcome, run))
    return runs


def _create_entry(agents: int) -> dispatcher_lib.Dispatcher:
    entry = dispatcher_lib.create_dispatcher("entry-0", "zone-0", 1)
    for i in range(agents):
        entry.add_agent(
            member_lib.Member(
                f"agent-{i}",
                1,
                member_lib.Role.AGENT,
                f"zone-{i % 20}",
                "tcp://10.0.0.1:1",
                workload.UPSTREAM,
                simulation.SLOTS,
                simulation.CONNECTIONS,
            ),
            0.0,
        )
    return entry


def _time_decisions(entry: dispatcher_lib.Dispatcher) -> float:
    """Returns the CPU time to place a task and record its answer, in us."""
    rng = random.Random(1)
    profile = workload.create_profile("orders")
    load = dispatching.Load(4, 0, 0, 2, 0)
    started = time.process_time()
    running = []
    now = 0.0
    done = 0
    while done < DECISIONS:
        now += 0.01
        sizes_ms = tuple(rng.randint(50, 1_000) for _ in range(TASKS_PER_JOB))
        entry.submit(
            work_lib.Work(
                f"job-{now}", profile, TASKS_PER_JOB, sizes_ms, now + 30
            ),
            now,
        )
        running.extend(entry.place(now))
        while len(running) > IN_FLIGHT:
            placed = running.pop(0)
            attempt = dispatching.Attempt(
                placed.job, placed.task, 1, placed.number
            )
            answer = dispatching.Answer(attempt, b"", 300.0, 0.0, load)
            entry.on_answer(placed.agent, answer, now)
            done += 1
    return (time.process_time() - started) / done * 1e6


def _join(ratios: figures.Ratios) -> str:
    return "/".join(f"{value:.2f}" for value in ratios)


if __name__ == "__main__":
    app()
