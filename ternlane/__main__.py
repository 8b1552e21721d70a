"""`python -m ternlane`."""

from ternlane.cli import main

main()
