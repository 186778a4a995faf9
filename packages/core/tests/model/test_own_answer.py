"""Model of two requests over one stream whose answers cross (P4)."""

from __future__ import annotations

from collections.abc import Iterator

from minicheck import Protocol

from tests.model.support import ModelTestCase, State, make_protocol

REQUESTS = 2
LOST = -1


def make_model(*, by_order: bool) -> Protocol:
    """Return the model; each request is answered with its own number or lost.

    :param by_order: whether an answer goes to the oldest waiting request instead of its own.
    """

    def transitions(state: State) -> Iterator[tuple[str, State]]:
        sent, flight, callers = state
        for number in range(REQUESTS):
            if number not in sent:
                yield f"send {number}", (sent | {number}, flight, callers)
            elif number not in flight:
                yield f"answer {number}", (sent, flight | {number}, callers)
            if number in sent and callers[number] is None:
                gone = (*callers[:number], LOST, *callers[number + 1 :])
                yield f"caller {number} leaves", (sent, flight, gone)
        for answer in sorted(flight):
            waiting = [n for n in sorted(sent) if callers[n] is None]
            if by_order and waiting:
                receiver = waiting[0]
            elif not by_order and callers[answer] is None:
                receiver = answer
            else:
                continue
            told = (*callers[:receiver], answer, *callers[receiver + 1 :])
            yield f"answer {answer} arrives", (sent, flight, told)

    return make_protocol(
        "own-answer",
        ("sent", "flight", "callers"),
        (frozenset(), frozenset(), (None,) * REQUESTS),
        transitions,
        {
            "P4-own-answer": lambda d: all(
                answer in (None, LOST, number) for number, answer in enumerate(d["callers"])
            )
        },
    )


class OwnAnswerModelTest(ModelTestCase):
    """Answers are matched by request, not by order."""

    def test_own_answer(self) -> None:
        """Guards against handing one caller the answer of another."""
        self.assert_holds(make_model(by_order=False), 36)

    def test_answers_by_order(self) -> None:
        """Guards against answers that are matched by the order of arrival."""
        self.assert_refuted(make_model(by_order=True), "P4-own-answer", 4)
