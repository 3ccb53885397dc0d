"""The record of a confirm."""

from pydantic import BaseModel, ConfigDict

from .identifiers import OperatorName, Revision


class AuditRecord(BaseModel):
    """Who confirmed what, and when (``confirmed_unix_seconds``: wall clock, for people).

    Parameters
    ----------
    confirm_id
        The id of the plan that was confirmed.
    summary
        The first lines of its diff.
    replaced_kept_at
        The store's revision of the write that copied the replaced document to the history; 0 if
        there was none. With it that copy can be deleted when it is no longer listed.
    """

    model_config = ConfigDict(frozen=True, extra="ignore")

    revision: Revision
    confirm_id: str
    base_revision: Revision
    proposed_by: OperatorName
    confirmed_by: OperatorName
    confirmed_unix_seconds: float
    summary: tuple[str, ...] = ()
    replaced_kept_at: int = 0
