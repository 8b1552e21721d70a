"""Recovery of broken streams: resume strategies, joining of texts, stall detection and rate limits. No I/O."""

from ternlane.recovery.errors import RecoveryError, ReplayMismatchError
from ternlane.recovery.replay_buffer import ReplayBuffer
from ternlane.recovery.resume_limiter import ResumeLimiter
from ternlane.recovery.resume_strategy import ResumeDecision, ResumeStrategy, choose_resume_strategy, is_reproducible
from ternlane.recovery.stall_detector import StallDetector
from ternlane.recovery.stream_join import StreamJoin
from ternlane.recovery.stream_recovery import RecoveryOutcome, StreamRecovery

__all__ = [
    "RecoveryError",
    "RecoveryOutcome",
    "ResumeLimiter",
    "ReplayBuffer",
    "ReplayMismatchError",
    "ResumeDecision",
    "ResumeStrategy",
    "StallDetector",
    "StreamJoin",
    "StreamRecovery",
    "choose_resume_strategy",
    "is_reproducible",
]
