"""Measures ways to decide the owner of a job, and their cost at scale."""

from __future__ import annotations

import time
import tracemalloc
import typing as t

import msgspec
import rich.console
import rich.table
import typer

from benchmarks import claim_network
from benchmarks import control_log
from skylarkcleat.jobs import keeper_shard_state
from skylarkcleat.jobs import ledger as ledger_lib
from skylarkcleat.model import keeper_shard
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching

WORKERS = 13_000
STARTS_PER_S = 850_000
TASKS_PER_JOB = 20
JOBS_PER_S = STARTS_PER_S / TASKS_PER_JOB
KEPT_S = 910
COPIES = 3
SIZES = (2_000, 8_000, 32_000)
COHORTS = (8, 16, 64)
RATES = (100, 1_000, 10_000)
AGENT = claiming.MemberRef("agent-00001", 1)
ENTRY = claiming.MemberRef("entry-1", 1)
LOAD = dispatching.Load(0, 0, 0)

app = typer.Typer(help=__doc__)
console = rich.console.Console(width=100)


@app.command()
def latency(jobs: int = 2000, seed: int = 1) -> None:
    """Compares the delay before the first dispatch, under virtual time."""
    table = rich.table.Table(title="Delay before the first dispatch, ms")
    for column in ("way", "jobs/s", "p50", "p99", "messages a job"):
        table.add_column(column, justify="right")
    for rate in RATES:
        log = control_log.simulate(jobs, rate, seed)
        add_latency(table, "control log, 5 ms sync", rate, log)
    for rate in RATES:
        kept = claim_network.simulate(jobs, rate, seed)
        add_latency(table, "three keepers", rate, kept)
    for cohort in (16, 64, 256):
        fenced = claim_network.simulate_takeover(cohort)
        name = f"take-over of a cohort of {cohort}"
        add_latency(table, name, 0, fenced)
    console.print(table)


@app.command()
def memory() -> None:
    """Measures the memory of a kept claim, and computes the load of a node."""
    table = rich.table.Table(title=f"Claims kept by one agent of {WORKERS}")
    columns = ("cohort", "claims", "bytes a claim", "bytes on the wire")
    for column in (*columns, "MB a node", "KB/s to a node"):
        table.add_column(column, justify="right")
    for cohort in COHORTS:
        for size in SIZES:
            kept, wire = measure_claims(cohort, size)
            total = JOBS_PER_S * KEPT_S * COPIES / WORKERS * kept / 1e6
            rate = JOBS_PER_S * COPIES / WORKERS * wire / 1e3
            sizes = (cohort, size, round(kept), wire)
            cells = (*sizes, f"{total:.1f}", f"{rate:.1f}")
            table.add_row(*map(str, cells))
    console.print(table)
    table = rich.table.Table(title="Tasks recorded by one agent")
    for column in ("tasks", "bytes a task", f"MB a node at {WORKERS} workers"):
        table.add_column(column, justify="right")
    for size in SIZES:
        record = measure_records(size)
        total = STARTS_PER_S * KEPT_S / WORKERS * record / 1e6
        table.add_row(str(size), str(round(record)), f"{total:.1f}")
    console.print(table)


@app.command()
def cpu() -> None:
    """Measures processor time per step, and computes the load of a node."""
    table = rich.table.Table(title="Processor time, without the wire")
    columns = ("step", "records", "µs a step", "steps/s a node", "% of a core")
    for column in columns:
        table.add_column(column, justify="right")
    claims = JOBS_PER_S / WORKERS
    starts = STARTS_PER_S / WORKERS
    for size in SIZES:
        add_cpu(table, "claim, 3 keepers", size, measure_keepers(size), claims)
    for size in SIZES:
        add_cpu(table, "task in ledger", size, measure_ledger(size), starts)
    for tasks in (1, 20, 480):
        micros = claim_network.measure_coordinator(tasks)
        add_cpu(table, f"task at entry, {tasks} a job", tasks, micros, 0)
    console.print(table)


def add_latency(
    table: rich.table.Table,
    way: str,
    rate: int,
    result: claim_network.Delays,
) -> None:
    """Adds a row for delays given in seconds."""
    delays = sorted(result.delays)
    p50 = delays[len(delays) // 2] * 1000
    p99 = delays[len(delays) * 99 // 100] * 1000
    messages = f"{result.messages / len(delays):.2f}"
    cells = (way, str(rate or "-"), f"{p50:.1f}", f"{p99:.1f}", messages)
    table.add_row(*cells)


def add_cpu(
    table: rich.table.Table, step: str, size: int, micros: float, rate: float
) -> None:
    """Adds a row; `rate` is the steps per second of one node, 0 if unknown."""
    share = f"{micros * rate / 1e4:.3f}" if rate else "-"
    table.add_row(
        step, str(size), f"{micros:.1f}", f"{rate:.1f}" if rate else "-", share
    )


def create_claim(number: int, cohort: int) -> claiming.Claim:
    """Returns a claim whose cohort is one of 40 different ones."""
    first = number % 40 * 10
    agents = tuple(
        claiming.MemberRef(f"agent-{first + i:05d}", claim_network.START_MS)
        for i in range(cohort)
    )
    job = claim_network.create_id(number)
    return claiming.Claim(
        job, 1, "f" * 32, ENTRY, "tcp://10.0.0.1:7000", number, agents, 20, "p"
    )


def measure_claims(cohort: int, size: int) -> tuple[float, int]:
    """Returns the size of a claim in memory and encoded, in bytes."""
    encoded = [
        msgspec.msgpack.encode(create_claim(number, cohort))
        for number in range(size)
    ]
    decoder = msgspec.msgpack.Decoder(claiming.Claim)
    config = keeper_shard.KeeperShard(0, 1, (), (), 0)
    state = keeper_shard_state.ShardState(config)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for body in encoded:
        state.record(decoder.decode(body))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / size, len(encoded[0])


def measure_records(size: int) -> float:
    """Returns the size of a task record without its answer, in bytes."""
    encoded = [
        msgspec.msgpack.encode(create_dispatch(number))
        for number in range(size)
    ]
    decoder = msgspec.msgpack.Decoder(dispatching.Dispatch)
    ledger = ledger_lib.Ledger(AGENT, max_records=4 * size, max_bytes=0)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for body in encoded:
        run_task(ledger, decoder.decode(body))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / size


def measure_keepers(size: int) -> float:
    """Returns the processor time of three keepers per claim, in µs."""
    network = claim_network.KeeperNetwork(3)
    claims = [create_claim(number, 16) for number in range(size)]
    return measure(lambda: network.decide_all(claims)) / size


def measure_ledger(size: int) -> float:
    """Returns the processor time of a task from admission to answer, in µs."""
    ledger = ledger_lib.Ledger(AGENT, max_records=4 * size)
    dispatches = [create_dispatch(number) for number in range(size)]

    def run() -> None:
        for dispatch in dispatches:
            run_task(ledger, dispatch)

    return measure(run) / size


def create_dispatch(number: int) -> dispatching.Dispatch:
    """Returns the dispatch of the only task of a job."""
    attempt = dispatching.Attempt(claim_network.create_id(number), 0, 1, 1)
    return dispatching.Dispatch(attempt, 1, "p", 1, 1000, 0, b"{}")


def run_task(ledger: ledger_lib.Ledger, dispatch: dispatching.Dispatch) -> None:
    """Admits, starts and answers a task."""
    ledger.admit(dispatch, ENTRY, claim_network.START_MS)
    ledger.start(dispatch.attempt)
    ledger.record_answer(
        dispatching.Answer(dispatch.attempt, b"{}", 1.0, 0.0, LOAD)
    )


def measure(step: t.Callable[[], object]) -> float:
    """Returns the processor time of a step, in microseconds."""
    begin = time.process_time()
    step()
    return (time.process_time() - begin) * 1e6


if __name__ == "__main__":
    app()
