"""Runs the command line: ``python -m wingquay``."""

from wingquay.cli import main

main()
