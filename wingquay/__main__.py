"""Runs the command line: ``python -m wingquay``."""

from .cli import main

main()
