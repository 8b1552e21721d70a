"""The version, in a module without imports: it is part of the User-Agent and shown by `--version`."""

VERSION = "0.2.0"
