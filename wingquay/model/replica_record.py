"""What a replica states about itself in the directory of replicas."""

from .value import value


@value
class ReplicaRecord:
    """One start of one replica; a restart brings a record with another id.

    Parameters
    ----------
    slots
        Requests that it works on at a time.
    is_draining
        Whether it is leaving and must get no new work.
    cold_seconds
        How much longer it stays slow after its start, counted from when the record was written.
    """

    replica_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool = False
    cold_seconds: float = 0.0
