"""The commands of the command line, one module each.

A module is listed in ``wingquay.cli.COMMANDS`` and has an attribute ``command``: a function, or
a class without constructor arguments whose public methods are subcommands. Parameters are typed
(``str``, ``int``, ``float``, ``bool`` or one of these or ``None``); the result is an exit code
from ``wingquay.commands.exit_codes`` (``None`` counts as 0). A coroutine function is run to its
end. Modules are imported only when their command is given.
"""
