"""The body of a request while it is read."""

from __future__ import annotations

# Small chunks are joined into blocks of this size. Blocks of one size leave fewer holes in the memory than buffers that
# grow, and short chunks kept by themselves would take several times their length.
BLOCK_BYTES = 16384


class BodyBuffer:
    """Collects the chunks of a body. Holds little more memory than its length."""

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._blocks_bytes = 0
        self._small = bytearray()  # chunks that do not fill a block yet

    def __len__(self) -> int:
        return self._blocks_bytes + len(self._small)

    def add(self, chunk: bytes | bytearray) -> None:
        """Adds a chunk."""
        self._small += chunk
        if len(self._small) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._small))
            self._blocks_bytes += len(self._small)
            self._small = bytearray()

    def clear(self) -> None:
        """Drops what has been collected."""
        self._blocks.clear()
        self._blocks_bytes = 0
        self._small = bytearray()

    def take(self) -> bytes:
        """Returns the whole body, and drops it here."""
        body = b"".join([*self._blocks, self._small])
        self.clear()
        return body
