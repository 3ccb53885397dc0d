"""Opens the sockets on which callers arrive, before anything else of the program is loaded.

A machine that comes back has callers waiting. Loading the program takes some tenths of a second;
connections that come up meanwhile wait in the queue of the listening socket instead of being
refused. Only the standard library's smallest parts are imported here for that reason.
"""

import socket

QUEUE_LENGTH = 1_024
"""Connections that may wait to be accepted."""


def open_listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket that listens on ``host`` (an IP number) and ``port``.

    Raises
    ------
    OSError
        The address cannot be listened on.
    """
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setblocking(False)
    listening.bind((host, port))
    listening.listen(QUEUE_LENGTH)
    return listening
