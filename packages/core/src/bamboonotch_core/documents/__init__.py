"""Decides which version a node runs when an external source accepts whole documents."""

from bamboonotch_core.documents._dating import answer_age_ms
from bamboonotch_core.documents._reading import WATCH_DOCUMENT
from bamboonotch_core.documents._reducer import reduce_documents
from bamboonotch_core.documents._state import DocumentState, make_document_state

__all__ = [
    "WATCH_DOCUMENT",
    "DocumentState",
    "answer_age_ms",
    "make_document_state",
    "reduce_documents",
]
