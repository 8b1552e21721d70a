"""Runs the command line with `python -m ternlane`."""

from ternlane.cli import main

main()
