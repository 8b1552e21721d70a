"""The version, in a module that imports nothing: it is told to servers and on the command line."""

VERSION = "0.2.0"
