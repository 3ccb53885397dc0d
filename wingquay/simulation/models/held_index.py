"""Which index versions and which keys a modelled replica holds."""

from ...model.identifiers import ServiceName, ShardId, SnapshotVersion
from ...model.key_range import KeyRange, intersect, normalize
from .backend_messages import BackendExchange, ReplyKind


class HeldIndex:
    """The versions from ``oldest`` to ``newest`` of the key ranges of some shards."""

    def __init__(
        self,
        service: ServiceName,
        oldest: SnapshotVersion,
        newest: SnapshotVersion,
    ) -> None:
        self.oldest = oldest
        self.newest = newest
        self._service = service
        self._shards: dict[ShardId, KeyRange] = {}

    def install_version(self, version: SnapshotVersion) -> None:
        """Hold ``version`` as well, if it is newer than all held ones."""
        self.newest = max(self.newest, version)

    def drop_version(self, version: SnapshotVersion) -> None:
        """Drop ``version`` and all older ones; the newest one always stays."""
        dropped_to = SnapshotVersion(version + 1)
        self.oldest = min(max(self.oldest, dropped_to), self.newest)

    def serve_shard(self, shard_id: ShardId, key_range: KeyRange | None) -> None:
        """Serve ``key_range`` for the shard from now on; ``None``: do not serve it any more."""
        if key_range is None:
            self._shards.pop(shard_id, None)
        else:
            self._shards[shard_id] = key_range

    def covered(self, exchange: BackendExchange) -> tuple[KeyRange, ...]:
        """Return the asked keys that are held."""
        held = self._shards.get(exchange.shard_id)
        if held is None:
            return ()
        if len(exchange.key_ranges) == 1:
            overlap = held.intersection(exchange.key_ranges[0])
            return () if overlap is None else (overlap,)
        return intersect(exchange.key_ranges, (held,))

    def refusal(self, exchange: BackendExchange) -> ReplyKind | None:
        """Return why the exchange cannot be answered from what is held, or ``None``."""
        covered = self.covered(exchange)
        if exchange.service != self._service or not covered:
            return ReplyKind.WRONG_SHARD
        if exchange.snapshot is None:
            # A write runs whole or not at all.
            is_whole = covered == normalize(exchange.key_ranges)
            return None if is_whole else ReplyKind.WRONG_SHARD
        if not self.oldest <= exchange.snapshot <= self.newest:
            return ReplyKind.NOT_HELD
        return None
