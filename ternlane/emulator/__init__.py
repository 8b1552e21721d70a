"""An engine of the field in figures. Free of I/O and of any clock of its own."""
from ternlane.emulator.batch import Batch, Build, Course, Pace, Step
from ternlane.emulator.blocks import Blocks, Held, chain

__all__ = ["Batch", "Blocks", "Build", "Course", "Held", "Pace", "Step", "chain"]
