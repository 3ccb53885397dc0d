"""The audit record of a confirm."""

from pydantic import BaseModel, ConfigDict

from .identifiers import OperatorName, Revision


class AuditRecord(BaseModel):
    """Who confirmed which plan, and when.

    Parameters
    ----------
    confirm_id
        Id of the confirmed plan.
    confirmed_unix_seconds
        Wall-clock time, for people.
    summary
        First lines of the plan's diff.
    replaced_kept_at
        Store revision of the write that copied the replaced document to the history; 0: no document
        was replaced. Used to delete the copy once it is no longer listed.
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
