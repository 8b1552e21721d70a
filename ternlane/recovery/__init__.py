"""What becomes of a stream that breaks off: may it go on, where does its text join, when is its turn. Free of I/O."""

from ternlane.recovery.stream_join import Differs, StreamJoin, ReplayBuffer
from ternlane.recovery.stream_recovery import RecoveryOutcome, StreamRecovery
from ternlane.recovery.recovery_pace import RecoveryPace
from ternlane.recovery.stream_pacing import StreamPacing
from ternlane.recovery.resume_strategy import ResumeStrategy, comes_out_the_same, way_of

__all__ = [
    "Differs",
    "RecoveryOutcome",
    "StreamJoin",
    "StreamRecovery",
    "RecoveryPace",
    "StreamPacing",
    "ReplayBuffer",
    "ResumeStrategy",
    "comes_out_the_same",
    "way_of",
]
