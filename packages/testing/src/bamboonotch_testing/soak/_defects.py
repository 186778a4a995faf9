"""Defects that a run must notice: each breaks one promise in a node that is correct otherwise.

Run as a module with the name of a defect, it is a node with that defect.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bamboonotch_testing.soak._plan import BACKEND_ANSWERS, FaultKind

__all__ = ["DEFECTS", "Defect", "defective_program"]

# One call of so many is handled wrongly.
WRONG_CALLS = 5
CLOSE_S = 0.01
SERVING_S = 8.0
EXTRA_MS = 3000.0


@dataclass(frozen=True)
class Defect:
    """One defect.

    :param promise: the check that must notice it.
    :param apply: breaks the node in this process.
    :param kinds: faults of the run.
    :param answers: how answers of backend servers are spoiled in the run.
    """

    promise: str
    apply: Callable[[], None]
    kinds: tuple[FaultKind, ...] = (FaultKind.VERSION,)
    answers: tuple[str, ...] = BACKEND_ANSWERS


def defective_program(name: str) -> tuple[str, ...]:
    """Return the arguments of the interpreter that start a node with a defect.

    :param name: name of the defect.
    """
    return ("-m", __name__, name)


def _replace(owner: object, name: str, value: object) -> None:
    """Put something in place of a function or method of the product."""
    setattr(owner, name, value)


def _trust_any_answer() -> None:
    from bamboonotch_node.dialect import HttpDialect

    _replace(HttpDialect, "is_of_other_request", lambda *_: False)
    _replace(HttpDialect, "has_proof", lambda *_: True)


def _forget_caller_service() -> None:
    from bamboonotch_node.http_ingress._checks import end_to_end_headers
    from bamboonotch_node.http_ingress._ingress import HttpIngress

    def without_service(self: HttpIngress, headers: Any) -> Any:
        return end_to_end_headers(headers, self._dialect)

    _replace(HttpIngress, "_forwarded_headers", without_service)


def _repeat_orders() -> None:
    from bamboonotch_platform import configuration

    configuration.IDEMPOTENT_KINDS["unsafe"] = True


def _believe_errors_not_run() -> None:
    from bamboonotch_node.dialect import HttpDialect

    _replace(HttpDialect, "is_not_run", lambda self, status, headers: status >= 500)


def _retry_without_bounds() -> None:
    from bamboonotch_core.outcomes import _attempts, _reducer
    from bamboonotch_core.outcomes._state import PendingRequest

    def without_bound(*args: Any, **fields: Any) -> PendingRequest:
        return PendingRequest(*args, **fields | {"max_attempts": 0})

    _replace(_reducer, "PendingRequest", without_bound)
    _replace(_attempts, "take_token", lambda state, service, table: state)


def _distrust_most_answers() -> None:
    from bamboonotch_core.outcomes import _attempts
    from bamboonotch_node.dialect import HttpDialect

    numbers = iter(range(sys.maxsize))
    _replace(HttpDialect, "has_proof", lambda *_: not next(numbers) % 3)
    _replace(_attempts, "take_token", lambda state, service, table: state)


def _promise_more_time() -> None:
    from bamboonotch_node.backend import _exchange

    encode = _exchange._encode_headers

    def with_more_time(work: Any, address: str, remaining_ms: float, *rest: Any) -> Any:
        return encode(work, address, remaining_ms + EXTRA_MS, *rest)

    _replace(_exchange, "_encode_headers", with_more_time)


def _ignore_leaving_callers() -> None:
    from bamboonotch_node.http_ingress._ingress import HttpIngress

    _replace(HttpIngress, "caller_gone", lambda *_: None)


def _never_answer_some() -> None:
    from bamboonotch_node.http_ingress._ingress import HttpIngress

    receive = HttpIngress.request_received
    numbers = iter(range(sys.maxsize))

    def receive_most(self: HttpIngress, request: Any) -> None:
        if next(numbers) % WRONG_CALLS:
            receive(self, request)

    _replace(HttpIngress, "request_received", receive_most)


def _close_some_connections() -> None:
    from bamboonotch_node.http_ingress._ingress import HttpIngress

    receive = HttpIngress.request_received
    numbers = iter(range(sys.maxsize))

    def receive_and_close(self: HttpIngress, request: Any) -> None:
        from twisted.internet import reactor

        receive(self, request)
        if not next(numbers) % WRONG_CALLS:
            reactor.callLater(CLOSE_S, request.channel.transport.abortConnection)  # type: ignore[attr-defined]

    _replace(HttpIngress, "request_received", receive_and_close)


def _end_at_once() -> None:
    from bamboonotch_node.runtime import NodeRuntime

    _replace(NodeRuntime, "request_shutdown", lambda self: os._exit(0))


def _miss_draining() -> None:
    from bamboonotch_platform import announcements

    announcements.STATES["draining"] = "ready"


def _keep_first_version() -> None:
    from bamboonotch_core.documents._step import Step

    hold = Step.hold

    def hold_first(step: Any, version: int, *rest: Any) -> None:
        if not step.state.held_version:
            hold(step, version, *rest)

    _replace(Step, "hold", hold_first)


def _lose_rules_of_even_versions() -> None:
    from bamboonotch_platform import store
    from bamboonotch_platform.configuration import decode_configuration

    def decode_partly(value: bytes) -> Any:
        version, document = decode_configuration(value)
        if version % 2 == 0:
            routes = document["routes"]
            for name in [name for name in routes if name.startswith("added-")]:
                del routes[name]
        return version, document

    _replace(store, "decode_configuration", decode_partly)


def _deny_some() -> None:
    from bamboonotch_node.http_ingress._checks import BadRequestError
    from bamboonotch_node.http_ingress._ingress import HttpIngress

    check = HttpIngress._check
    numbers = iter(range(sys.maxsize))

    def check_strictly(self: HttpIngress, request: Any) -> Any:
        if not next(numbers) % WRONG_CALLS:
            raise BadRequestError(400, "defect")
        return check(self, request)

    _replace(HttpIngress, "_check", check_strictly)


def _serve_for_a_while() -> None:
    from bamboonotch_node.http_ingress._checks import BadRequestError
    from bamboonotch_node.http_ingress._ingress import HttpIngress

    check = HttpIngress._check
    started_s = time.monotonic()

    def check_early(self: HttpIngress, request: Any) -> Any:
        if time.monotonic() > started_s + SERVING_S:
            raise BadRequestError(503, "defect")
        return check(self, request)

    _replace(HttpIngress, "_check", check_early)


def _end_on_reload() -> None:
    from bamboonotch_node.runtime import SettingsWatch

    _replace(SettingsWatch, "reload", lambda self: os._exit(0))


ANSWERS = (FaultKind.BACKEND_ANSWER,)
DEFECTS = {
    "trust-any-answer": Defect("whole answers", _trust_any_answer, ANSWERS),
    "forget-caller-service": Defect("requests unchanged", _forget_caller_service),
    "repeat-orders": Defect("at most once", _repeat_orders, ANSWERS),
    "believe-errors-not-run": Defect("refused is not run", _believe_errors_not_run, ANSWERS),
    "ignore-bounds": Defect("attempts", _retry_without_bounds, ANSWERS, ("LOST",)),
    "distrust-answers": Defect("retries", _distrust_most_answers),
    "promise-more-time": Defect("time left", _promise_more_time),
    "ignore-leaving-callers": Defect("callers that leave", _ignore_leaving_callers),
    "never-answer-some": Defect("time limit", _never_answer_some),
    "close-some-connections": Defect("kept connections", _close_some_connections),
    "end-at-once": Defect("planned work", _end_at_once, (FaultKind.NODE_STOP,)),
    "miss-draining": Defect("leaving backend servers", _miss_draining, (FaultKind.BACKEND_LEAVES,)),
    "keep-first-version": Defect("versions in force", _keep_first_version),
    "lose-rules": Defect("versions rise", _lose_rules_of_even_versions),
    "deny-some": Defect("denials", _deny_some),
    "serve-for-a-while": Defect("recovery", _serve_for_a_while),
    "end-on-reload": Defect("processes", _end_on_reload, (FaultKind.NODE_RELOAD,)),
}


def _run_defective_node() -> None:
    from bamboonotch_platform.main import main

    DEFECTS[sys.argv.pop(1)].apply()
    main()


if __name__ == "__main__":
    _run_defective_node()
