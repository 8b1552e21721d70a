"""An engine of the field in figures. Free of I/O and of any clock of its own."""
from ternlane.emulator.blocks import Blocks, Held, chain

__all__ = ["Blocks", "Held", "chain"]
