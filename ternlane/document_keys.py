"""The keys that configuration documents use, where they differ from the names that the code uses.

Documents keep the form that operators have written; this table is the one place where their keys are mapped to the
terms of the code. `document_key` is the `rename` of every struct that is read from a document.
"""

from __future__ import annotations

# The field of a struct -> the key of the document. A field that is not here has its own name as its key.
DOCUMENT_KEYS = {
    "answer_tokens": "answer_toks",
    "block_tokens": "block_toks",
    "cached": "kept",
    "deadline_ms": "limit_ms",
    "decode_server": "writer",
    "decode_servers": "writers",
    "decode_servers_prefill": "writers_read",
    "far_tokens_per_s": "far_tok_s",
    "keep_tokens": "keep_toks",
    "kv_capacity_tokens": "mem_toks",
    "late_value_share": "late_share",
    "max_attempts": "leg_limit",
    "max_retry_after_ms": "longest_pause_ms",
    "max_tokens": "max_toks",
    "may_cancel": "may_call_off",
    "memory_tokens": "memory_toks",
    "near_tokens_per_s": "near_tok_s",
    "prefill_server": "reader",
    "prefill_servers": "readers",
    "prefill_tokens_per_s": "read_tok_s",
    "prefix_share": "opening_part",
    "prefix_tokens": "opening_toks",
    "prefix_words": "opening_words",
    "prefixes": "openings",
    "priority_weight": "revenue",
    "request_class": "product",
    "request_classes": "products",
    "role": "duty",
    "slo_per_1000_tokens_ms": "slo_per_ktok_ms",
    "slow_start_ms": "cold_ms",
    "slow_start_share": "cold_from",
    "step_tokens": "step_toks",
    "token_growth": "tok_grow",
    "token_ms": "tok_ms",
    "token_slo_ms": "tok_slo_ms",
    "tokens": "toks",
}


def document_key(field: str) -> str:
    """The key that documents use for this field."""
    return DOCUMENT_KEYS.get(field, field)
