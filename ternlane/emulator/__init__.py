"""Discrete-event model of engines and fleets: continuous batching, paged memory, links. Uses no I/O and no clock."""

from ternlane.emulator.batch import Batch, BatchConfig, BatchSequence, BatchStep, StepCost
from ternlane.emulator.blocks import BlockAllocation, BlockPool, block_keys
from ternlane.emulator.engine import EmulatedEngine, EmulatedFault, EngineTraits, Job, JobEvent, JobEventKind
from ternlane.emulator.fleet import EmulatedFleet, PlacedEngine
from ternlane.emulator.links import Link, LinkTransfer
from ternlane.emulator.load_report import LoadReport

__all__ = [
    "Batch",
    "BatchConfig",
    "BatchSequence",
    "BatchStep",
    "BlockAllocation",
    "BlockPool",
    "EmulatedEngine",
    "EmulatedFault",
    "EmulatedFleet",
    "EngineTraits",
    "Job",
    "JobEvent",
    "JobEventKind",
    "Link",
    "LinkTransfer",
    "LoadReport",
    "PlacedEngine",
    "StepCost",
    "block_keys",
]
