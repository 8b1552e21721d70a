"""What becomes of a stream that breaks off: may it go on, where does its text join, when is its turn. Free of I/O."""

from ternlane.recover.join import Differs, Join, Shelf
from ternlane.recover.mender import Fate, Mender
from ternlane.recover.pace import Pace
from ternlane.recover.rhythm import Rhythm
from ternlane.recover.ways import Way, comes_out_the_same, way_of

__all__ = ["Differs", "Fate", "Join", "Mender", "Pace", "Rhythm", "Shelf", "Way", "comes_out_the_same", "way_of"]
