"""The operator: publishes configurations and writes again what the store has lost."""

import asyncio
import random
from collections.abc import Callable

from wingquay.model.routing_table import RoutingTable
from wingquay.platform.names import CONFIGURATION_KEY
from wingquay.platform.standins.documents import configuration_value
from wingquay.platform.standins.store import StandInStore

from .clients import Keys
from .ledger import Ledger, PublishedTable
from .requests import TableMaker
from .settings import SoakSettings


class Operator:
    """Writes to the store in its own process, so that each write is acknowledged at once.

    Parameters
    ----------
    keys
        Learns the tenants of a configuration once it is in force everywhere.
    """

    def __init__(
        self, store: StandInStore, ledger: Ledger, keys: Keys, settings: SoakSettings
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._keys = keys
        self._settings = settings
        self.maker = TableMaker(settings, random.Random(f"tables/{settings.seed}"))
        self._latest: RoutingTable | None = None

    def publish(self, *changes: Callable[[], None]) -> None:
        """Make changes and publish the configuration that they lead to."""
        for change in changes:
            change()
        loop = asyncio.get_running_loop()
        table = self.maker.next_table()
        sent_at = loop.time()
        self._latest = table
        self.write_again()
        self._ledger.tables.append(PublishedTable(table, sent_at, loop.time()))
        bound = self._settings.bounds.configuration_seconds
        loop.call_later(bound, self._keys.update, self.maker.tenants)

    def write_again(self) -> None:
        """Write the latest configuration."""
        if self._latest is not None:
            self._store.put(CONFIGURATION_KEY, configuration_value(self._latest))
