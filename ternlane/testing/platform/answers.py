"""Raw responses of the platform's model servers: good ones and faulty ones."""

from __future__ import annotations

EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"abcd"},"finish_reason":null}]}\n\n'
USAGE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":4,'
    b'"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
)
DONE = b"data: [DONE]\n\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Encodes `data` as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


GOOD_ANSWER = (
    RESPONSE_HEAD + encode_chunk(EVENT) + encode_chunk(EVENT) + encode_chunk(USAGE) + encode_chunk(DONE) + LAST_CHUNK
)
# Faulty responses by name. Afterwards the connection stays open, or closes if the name ends in "cut".
FAULTY_ANSWERS = {
    "noise": b"\x80\xca\x54\xeb\r\n\r\n" * 8,
    "odd_status": b"HTTP/1.1 2x0 OK\r\n\r\n",
    "endless_head": b"HTTP/1.1 200 OK\r\n" + b"x-more: of the same\r\n" * 4096,
    "first_not_event": RESPONSE_HEAD + encode_chunk(b"what is this\n\n"),
    "first_not_json": RESPONSE_HEAD + encode_chunk(b"data: {nonsense\n\n"),
    "first_chunk_bad": RESPONSE_HEAD + b"zz\r\n" + EVENT + b"\r\n",
    "later_chunk_bad": RESPONSE_HEAD + encode_chunk(EVENT) + b"-1\r\n" + EVENT + b"\r\n",
    "later_chunk_misfit": RESPONSE_HEAD + encode_chunk(EVENT) + b"%x\r\n" % (len(EVENT) - 9) + EVENT + b"\r\n",
    "later_noise": RESPONSE_HEAD + encode_chunk(EVENT) + encode_chunk(b"\x00\x01\x02 noise"),
    "huge_chunk": RESPONSE_HEAD + encode_chunk(EVENT) + b"c0000000\r\n" + b"z" * 400_000,
    "huge_chunk_of_events": RESPONSE_HEAD + encode_chunk(EVENT) + b"c0000000\r\n" + EVENT * 3,
    "huge_stated_length": RESPONSE_HEAD.replace(b"transfer-encoding: chunked", b"content-length: 3000000000") + EVENT,
    "endless_event": RESPONSE_HEAD + encode_chunk(EVENT) + b"c0000000\r\ndata: {" + b"z" * 400_000,
    "later_not_event": RESPONSE_HEAD
    + encode_chunk(EVENT)
    + encode_chunk(b"what is this\n\n")
    + encode_chunk(DONE)
    + LAST_CHUNK,
    "later_silent": RESPONSE_HEAD + encode_chunk(EVENT),
    "opening_cut": RESPONSE_HEAD,
    "later_cut": RESPONSE_HEAD + encode_chunk(EVENT),
    "no_done": RESPONSE_HEAD + encode_chunk(EVENT) + LAST_CHUNK,
    "status_500": b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
    "status_503": b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
    "full_503": b"HTTP/1.1 503 No\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n",
    "full_504": b"HTTP/1.1 504 No\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n",
    "gone_410": b"HTTP/1.1 410 No\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n",
}
