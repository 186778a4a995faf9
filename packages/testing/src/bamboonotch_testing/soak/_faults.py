"""Carries out the steps of a plan."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress

from twisted.internet.defer import Deferred

from bamboonotch_testing.fault_proxy import Direction, FaultProxy
from bamboonotch_testing.platform_backend import ABSENT_NODE, Answer, PlatformBackend
from bamboonotch_testing.platform_store import Fault
from bamboonotch_testing.soak._plan import FaultKind, Step
from bamboonotch_testing.soak._record import STORE
from bamboonotch_testing.soak._world import GRACE_S, Place, World, as_future

__all__ = ["FaultRunner"]

POLL_S = 0.02
# An end that comes this much after the grace period is too late.
END_SLACK_S = 0.5
BEAT_TIMEOUT_S = 1.0


class FaultRunner:
    """Carries out steps; several may be under way at a time.

    :param world: the run.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._store_faults = 0
        self._actions: dict[FaultKind, Callable[[Place, Step], Awaitable[None]]] = {
            FaultKind.NODE_KILL: self._kill,
            FaultKind.NODE_STOP: self._stop,
            FaultKind.NODE_PAUSE: self._pause,
            FaultKind.NODE_RELOAD: self._reload,
            FaultKind.BACKEND_ANSWER: self._spoil_answers,
            FaultKind.BACKEND_REPLACED: self._replace_backend,
            FaultKind.BACKEND_LEAVES: self._leave,
            FaultKind.STORE_CALLS: self._fail_store_calls,
            FaultKind.STORE_HISTORY: self._forget_history,
            FaultKind.STORE_LEASES: self._lapse_leases,
            FaultKind.VERSION: self._write_version,
        }

    async def run(self, steps: tuple[Step, ...]) -> None:
        """Carry out all steps and wait for their ends.

        :param steps: the steps.
        """
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        tasks = []
        for step in steps:
            await asyncio.sleep(max(0.0, start_s + step.at_s - loop.time()))
            tasks.append(loop.create_task(self._carry_out(step)))
        await asyncio.gather(*tasks)

    async def _carry_out(self, step: Step) -> None:
        place = self._world.places[step.target]
        action = self._actions.get(step.kind)
        if action is not None:
            await action(place, step)
            return
        what, _, how = step.kind.value.partition("-")
        link: FaultProxy = getattr(place, f"{what}_link")
        way = Direction.TO_SERVER if step.to_server else Direction.TO_CLIENT
        with self._world.disturbed(step.target, step.kind.value):
            if how == "reset":
                link.cut()
            elif how == "silent":
                link.freeze()
            elif how == "delay":
                link.delay(way, step.delay_ms)
            else:
                link.cut_one_way(way)
            await asyncio.sleep(step.hold_s)
            if how in ("delay", "one-way"):
                # Also ends what another step did to this link, whose span lasts longer then.
                link.clear()

    async def _kill(self, place: Place, step: Step) -> None:
        with self._world.disturbed(place.number, "kill"):
            place.node.kill()
            await asyncio.sleep(step.hold_s)
            place.start_node()

    async def _stop(self, place: Place, step: Step) -> None:
        if not place.node.is_running:
            return
        loop = asyncio.get_running_loop()
        with self._world.disturbed(place.number, "stop", planned=True):
            node, pid, started_s = place.node, place.node.pid, loop.time()
            node.request_stop()
            while node.is_running and node.pid == pid:
                if loop.time() - started_s > GRACE_S + END_SLACK_S:
                    if self._world.record.is_calm(
                        place.number, started_s, loop.time(), planned=False
                    ):
                        self._world.record.ends.append(f"n{place.number} did not end after SIGTERM")
                    node.kill()
                await asyncio.sleep(POLL_S)
            place.start_node()

    async def _pause(self, place: Place, step: Step) -> None:
        if not place.node.is_running:
            return
        with self._world.disturbed(place.number, "pause"):
            pid = place.node.pid
            place.node.pause()
            await asyncio.sleep(step.hold_s)
            if place.node.is_running and place.node.pid == pid:
                place.node.resume()

    async def _reload(self, place: Place, step: Step) -> None:
        # Until the interpreter has loaded the program, a SIGHUP ends it, as it ends any process.
        if place.node.is_running and not place.is_starting():
            place.node.signal(signal.SIGHUP)

    async def _spoil_answers(self, place: Place, step: Step) -> None:
        with self._world.disturbed(place.number, f"answers {step.detail}"):
            place.backend.answer = Answer[step.detail]
            await asyncio.sleep(step.hold_s)
            place.backend.answer = Answer.WHOLE

    async def _replace_backend(self, place: Place, step: Step) -> None:
        with self._world.disturbed(place.number, "backend server replaced"):
            place.backend.replace_process(place.next_instance())
            await asyncio.sleep(place.backend.plan.heartbeat_ms / 1000)

    async def _leave(self, place: Place, step: Step) -> None:
        backend = place.backend
        instance_id = backend.plan.instance_id
        if backend.state != "ready" or backend.says_leaving:
            return
        try:
            if step.to_server:
                backend.state = "draining"
                await self._tell(backend)
                if backend.plan.instance_id == instance_id:
                    self._world.record.leaving[instance_id] = asyncio.get_running_loop().time()
                await asyncio.sleep(step.hold_s)
            else:
                backend.says_leaving = True
                await asyncio.sleep(step.hold_s)
                if backend.plan.instance_id == instance_id:
                    self._note_told(backend)
        finally:
            # The next process at this address is ready.
            backend.replace_process(place.next_instance())
            backend.state = "ready"
            backend.says_leaving = False
            backend.told_leaving_ids.clear()

    def _note_told(self, backend: PlatformBackend) -> None:
        """Record when the first caller had a response that says that a backend server leaves."""
        calls = self._world.record.calls
        told = [calls[item] for item in backend.told_leaving_ids if item in calls]
        passed_on_s = [call.ended_s for call in told if call.status == 200 and call.ended_s]
        if passed_on_s:
            self._world.record.leaving[backend.plan.instance_id] = min(passed_on_s)

    async def _tell(self, backend: PlatformBackend) -> None:
        while True:
            # The node may be down, paused or starting; the next heartbeat tries again.
            with suppress(*ABSENT_NODE, asyncio.TimeoutError):
                beat = Deferred.fromCoroutine(backend.beat())
                if await asyncio.wait_for(as_future(beat), BEAT_TIMEOUT_S) == 200:
                    return
            await asyncio.sleep(POLL_S)

    async def _fail_store_calls(self, place: Place, step: Step) -> None:
        with self._world.disturbed(STORE, step.detail):
            self._store_faults += 1
            self._world.store.fault = Fault[step.detail]
            await asyncio.sleep(step.hold_s)
            self._store_faults -= 1
            if not self._store_faults:
                self._world.store.fault = None

    async def _forget_history(self, place: Place, step: Step) -> None:
        with self._world.disturbed(STORE, "history forgotten"):
            self._world.store.data.drop_history()

    async def _lapse_leases(self, place: Place, step: Step) -> None:
        with self._world.disturbed(STORE, "leases lapsed"):
            for lease in list(self._world.store.data.leases):
                self._world.store.data.end_lease(lease)

    async def _write_version(self, place: Place, step: Step) -> None:
        self._world.write_version()
