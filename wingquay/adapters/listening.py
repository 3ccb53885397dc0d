"""Opens the sockets on which callers arrive, before anything else of the program is loaded.

A machine that comes back has callers waiting. Loading the program takes some tenths of a second;
connections that come up meanwhile wait in the queue of the listening socket instead of being
refused. For that reason the socket is opened by the interpreter's own module: the one above it
takes as long to load as the interpreter itself.
"""

import _socket

TYPE_CHECKING = False
"""As in ``typing``, which would take as long to load as all the rest; checkers know the name."""
if TYPE_CHECKING:
    from socket import socket

QUEUE_LENGTH = 1_024
"""Connections that may wait to be accepted."""


def listen_on(host: str, port: int) -> int:
    """Return the descriptor of a socket that listens on ``host`` (an IP number) and ``port``.

    Raises
    ------
    OSError
        The address cannot be listened on.
    """
    listening = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
    listening.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEADDR, 1)
    listening.setblocking(False)
    listening.bind((host, port))
    listening.listen(QUEUE_LENGTH)
    return listening.detach()


def socket_of(descriptor: int) -> "socket":
    """Return the socket that a descriptor stands for."""
    from socket import socket

    listening = socket(fileno=descriptor)
    listening.setblocking(False)
    return listening


def open_listening_socket(host: str, port: int) -> "socket":
    """Return a socket that listens on ``host`` (an IP number) and ``port``.

    Raises
    ------
    OSError
        The address cannot be listened on.
    """
    return socket_of(listen_on(host, port))
