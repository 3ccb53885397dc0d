"""Settings of one modelled replica."""

from dataclasses import dataclass

from ...model.identifiers import ReplicaId, ServiceName, ShardId, SnapshotVersion
from ...model.key_range import FULL_KEY_RANGE, KeyRange
from .service_time import ServiceTimeSettings

FIRST_VERSION = SnapshotVersion(1)
DEFAULT_SERVICE_TIME = ServiceTimeSettings()


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """One replica: what it serves and how it behaves.

    Parameters
    ----------
    slots
        Exchanges worked on at the same time.
    queue_limit
        Exchanges that may wait for a slot; more are shed.
    connection_limit, connection_cost_seconds
        Connections held at the same time, and the time that a new one takes.
    oldest_version, newest_version
        Index versions held at the start, both included.
    warm_up_seconds, cold_factor
        Work begun at the start takes ``cold_factor`` times as long; the factor falls in a
        straight line to 1 over ``warm_up_seconds``.
    cancel_delay_seconds
        Time between a cancellation and the release of its slot.
    report_delay_seconds
        Age of the state that load reports and the health page show.
    retry_after_seconds
        What refusals tell callers to wait.
    """

    replica_id: ReplicaId
    service: ServiceName
    shard_id: ShardId
    key_range: KeyRange = FULL_KEY_RANGE
    slots: int = 5
    queue_limit: int = 20
    connection_limit: int = 70
    connection_cost_seconds: float = 0.001
    oldest_version: SnapshotVersion = FIRST_VERSION
    newest_version: SnapshotVersion = FIRST_VERSION
    service_time: ServiceTimeSettings = DEFAULT_SERVICE_TIME
    warm_up_seconds: float = 0.0
    cold_factor: float = 4.0
    cancel_delay_seconds: float = 0.001
    report_delay_seconds: float = 0.5
    retry_after_seconds: float = 1.0
