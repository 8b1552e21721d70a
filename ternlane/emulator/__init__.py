"""An engine of the field in figures. Free of I/O and of any clock of its own."""

from ternlane.emulator.batch import Batch, Build, Course, Pace, Step
from ternlane.emulator.blocks import Blocks, HostedRequest, chain
from ternlane.emulator.engine import Ailment, Engine, Job, Load, Nature, Told, What
from ternlane.emulator.fleet import Fleet, Seat
from ternlane.emulator.links import Link, Transfer

__all__ = [
    "Ailment",
    "Batch",
    "Blocks",
    "Build",
    "Course",
    "Engine",
    "Fleet",
    "HostedRequest",
    "Job",
    "Link",
    "Load",
    "Nature",
    "Pace",
    "Seat",
    "Step",
    "Told",
    "Transfer",
    "What",
    "chain",
]
