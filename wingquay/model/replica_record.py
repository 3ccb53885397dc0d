"""A replica's own record in the directory of replicas."""

from .value import value


@value
class ReplicaRecord:
    """One incarnation of a replica.

    A replica that restarts keeps its ``replica_id`` but has no state from before: it is a new
    incarnation.

    Parameters
    ----------
    slots
        Number of requests that it runs concurrently.
    is_draining
        Whether it is shutting down and must get no new work.
    cold_seconds
        Remaining warm-up time, during which it is slow, counted from the write of the record.
    born
        Start of the incarnation in Unix milliseconds on its machine's clock; ``None``: not stated.
        Used only for equality, not for ordering, because clocks may step back.
    """

    replica_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool = False
    cold_seconds: float = 0.0
    born: int | None = None

    @property
    def incarnation(self) -> str:
        """The name of this incarnation, unique across all incarnations of all replicas.

        If ``born`` is set, the name also differs from every replica id, because ids contain no
        space.
        """
        return self.replica_id if self.born is None else f"{self.replica_id} {self.born}"
