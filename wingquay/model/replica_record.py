"""What a replica states about itself in the directory of replicas."""

from .value import value


@value
class ReplicaRecord:
    """One life of one replica: it may start again under its id, and knows nothing of before then.

    Parameters
    ----------
    slots
        Requests that it works on at a time.
    is_draining
        Whether it is leaving and must get no new work.
    cold_seconds
        How much longer it stays slow after its start, counted from when the record was written.
    born
        When this life began, in Unix milliseconds on the clock of its machine; ``None``: it does
        not say. Lives are told apart by it and not put in order: clocks may step back.
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
        """The name of this life, which no other life of any replica has.

        No id holds a space, so it is also told from every id.
        """
        return self.replica_id if self.born is None else f"{self.replica_id} {self.born}"
