"""The record of a confirm."""

from pydantic import BaseModel, ConfigDict

from wingquay.model.identifiers import OperatorName, Revision


class AuditRecord(BaseModel):
    """Who confirmed what, and when (``confirmed_unix_seconds``: wall clock, for people).

    ``confirm_id`` is the id of the plan that was confirmed; ``summary`` holds the first lines
    of its diff.
    """

    model_config = ConfigDict(frozen=True, extra="ignore")

    revision: Revision
    confirm_id: str
    base_revision: Revision
    proposed_by: OperatorName
    confirmed_by: OperatorName
    confirmed_unix_seconds: float
    summary: tuple[str, ...] = ()
