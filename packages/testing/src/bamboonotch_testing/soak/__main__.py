"""Command that runs the soak for several seeds."""

from __future__ import annotations

import asyncio
import secrets
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
from twisted.internet import asyncioreactor

from bamboonotch_testing.platform_node import PROGRAM
from bamboonotch_testing.soak._defects import DEFECTS, defective_program
from bamboonotch_testing.soak._plan import make_plan

SEED_BITS = 32


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="A seed; may be given repeatedly.")
@click.option("--runs", type=int, default=1, show_default=True, help="Runs with fresh seeds.")
@click.option("--jobs", type=int, default=1, show_default=True, help="Runs at a time.")
@click.option("--faults-s", type=float, default=15.0, show_default=True, help="Time with faults.")
@click.option("--nodes", type=int, default=6, show_default=True)
@click.option("--defect", type=click.Choice(sorted(DEFECTS)), help="Run nodes with a defect.")
@click.option("--logs", type=click.Path(path_type=Path), help="Keep the logs of failed runs here.")
def main(
    seeds: tuple[int, ...],
    runs: int,
    jobs: int,
    faults_s: float,
    nodes: int,
    defect: str | None,
    logs: Path | None,
) -> None:
    """Run real nodes under random faults and check what callers and backend servers see.

    Exit status: 0 when all runs passed, 1 otherwise. With a defect, a run passes when the check
    that stands for it fails.
    """
    chosen = seeds or tuple(secrets.randbits(SEED_BITS) for _ in range(runs))
    if len(chosen) == 1:
        sys.exit(_run_one(chosen[0], faults_s, nodes, defect, logs))
    arguments = [f"--faults-s={faults_s}", f"--nodes={nodes}"]
    arguments += [f"--defect={defect}"] if defect else []
    arguments += [f"--logs={logs}"] if logs else []
    # One process a run: each needs a loop and an event reactor of its own.
    with ThreadPoolExecutor(jobs) as pool:
        statuses = list(pool.map(lambda seed: _start_one(seed, arguments), chosen))
    failed = sum(status != 0 for status in statuses)
    click.echo(f"{len(chosen) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _start_one(seed: int, arguments: list[str]) -> int:
    command = [sys.executable, "-m", "bamboonotch_testing.soak", f"--seed={seed}", *arguments]
    return subprocess.run(command, check=False).returncode


def _run_one(seed: int, faults_s: float, nodes: int, defect: str | None, logs: Path | None) -> int:
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    from bamboonotch_testing.soak._run import run_soak

    reactor.startRunning(installSignalHandlers=False)  # type: ignore[attr-defined]
    plan, program = make_plan(seed, faults_s, nodes), PROGRAM
    if defect:
        broken = DEFECTS[defect]
        plan = make_plan(seed, faults_s, nodes, broken.kinds, broken.answers)
        program = defective_program(defect)
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        report = loop.run_until_complete(run_soak(reactor, plan, directory, program))
        # Stops the threads of the resolver, which would keep the process alive.
        reactor.fireSystemEvent("shutdown")  # type: ignore[attr-defined]
        promises = {breach.promise for breach in report.breaches}
        passed = DEFECTS[defect].promise in promises if defect else not promises
        verdict = "passed" if passed else "failed"
        click.echo(
            f"seed {seed}: {verdict}, {report.served} of {report.calls} calls served,"
            f" longest stall of this process {report.worst_stall_ms:.0f} ms"
        )
        for breach in report.breaches:
            click.echo(f"seed {seed}: {breach.promise}: {breach.detail}")
        if not passed and logs is not None:
            target = logs / str(seed)
            target.mkdir(parents=True, exist_ok=True)
            for path in directory.iterdir():
                (target / path.name).write_bytes(path.read_bytes())
    return 0 if passed else 1


main()
