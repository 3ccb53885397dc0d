"""Which headers are passed along (RFC 9110, section 7.6.1)."""

from collections.abc import Container, Iterable

from ..ports.forwarding import Headers

_OF_ONE_CONNECTION = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def end_to_end(
    headers: Iterable[tuple[bytes, bytes]], left_out: Container[bytes] = frozenset()
) -> Headers:
    """Return the headers that do not concern one connection only.

    Parameters
    ----------
    left_out
        Further names, in lower case, that are not passed along.
    """
    pairs = [(name, text, name.lower()) for name, text in headers]
    named: set[bytes] = set()
    for _, text, key in pairs:
        if key == b"connection":
            named.update(part.strip().lower() for part in text.split(b","))
    return tuple(
        (name, text)
        for name, text, key in pairs
        if key not in _OF_ONE_CONNECTION and key not in left_out and key not in named
    )
