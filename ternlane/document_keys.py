"""Maps the fields of configuration structs to the keys of configuration documents, where the two differ.

The keys are a stable interface: renaming a field does not change existing documents. All structs that are read from
documents use `document_key` as their `rename` function.
"""

from __future__ import annotations

# Field -> key. For other fields, the key is the name of the field.
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
    """The key of this field in documents."""
    return DOCUMENT_KEYS.get(field, field)
