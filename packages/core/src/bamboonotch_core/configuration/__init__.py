"""Configuration documents, patches, log entries and differences between versions."""

from bamboonotch_core.configuration._difference import Difference, diff_documents
from bamboonotch_core.configuration._document import (
    EMPTY_CONFIGURATION,
    EMPTY_DOCUMENT,
    CallerLimits,
    Configuration,
    Document,
    Rank,
    RequestClass,
    Route,
    Service,
    WeightedService,
    Workspace,
    canonical_json,
    digest_document,
    digest_key,
)
from bamboonotch_core.configuration._log import (
    LogEntry,
    apply_entry,
    decode_entry,
    decode_snapshot,
    encode_entry,
    encode_snapshot,
    make_entry,
)
from bamboonotch_core.configuration._patch import Patch, apply_patch, parse_patch
from bamboonotch_core.configuration._validation import (
    MAX_BODY_BYTES,
    MAX_DURATION_MS,
    MAX_HEADER_BYTES,
    parse_configuration,
)

__all__ = [
    "EMPTY_CONFIGURATION",
    "EMPTY_DOCUMENT",
    "MAX_BODY_BYTES",
    "MAX_DURATION_MS",
    "MAX_HEADER_BYTES",
    "CallerLimits",
    "Configuration",
    "Difference",
    "Document",
    "LogEntry",
    "Patch",
    "Rank",
    "RequestClass",
    "Route",
    "Service",
    "WeightedService",
    "Workspace",
    "apply_entry",
    "apply_patch",
    "canonical_json",
    "decode_entry",
    "decode_snapshot",
    "diff_documents",
    "digest_document",
    "digest_key",
    "encode_entry",
    "encode_snapshot",
    "make_entry",
    "parse_configuration",
    "parse_patch",
]
