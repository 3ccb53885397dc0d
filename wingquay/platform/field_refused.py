"""Why a document is refused as a whole: one of its fields."""


class FieldRefusedError(ValueError):
    """Raised inside the readers of documents; their callers turn it into a ``Failure``.

    Parameters
    ----------
    field
        The field's name and place.
    given
        Its value as text, or what it is where the value is a secret.
    allowed
        What it may be.
    """

    def __init__(self, field: str, given: str, allowed: str) -> None:
        super().__init__(f"{field} is {given}; allowed: {allowed}")
