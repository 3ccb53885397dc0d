"""Tenants of a simulated configuration, their keys, and the keys that callers show."""

import random

from ...model.tenants import Tenant, TenantDirectory
from ...ports.forwarding import Headers, OpaqueRequest

KEYS = 2
"""Keys that each tenant holds at a time."""
GOOD_SHARE = 0.85
"""Share of callers that show a key of the newest configuration."""
OLD_SHARE = 0.08
"""Share of callers that show one that may have been taken away; the others show none or a wrong
one."""
FORGED_SHARE = 0.1
"""Share of callers that say by themselves which tenant they are."""
UNKNOWN_KEY = "never-held"


class TenantKeys:
    """Gives keys out and takes them away.

    Parameters
    ----------
    tenants
        How many there are; 0: the configuration tells callers not apart.
    chance
        Draws what is changed and shown; nothing else draws from it.
    """

    def __init__(self, tenants: int, chance: random.Random) -> None:
        self._random = chance
        self._made = 0
        self._held = {
            f"tenant-{number}": [self._fresh(), self._fresh()] for number in range(tenants)
        }
        self._old: list[str] = []

    def change(self) -> None:
        """Take a key away from one tenant in two, and give it another one."""
        for keys in self._held.values():
            if self._random.random() < 0.5:
                self._old.append(keys.pop(0))
                keys.append(self._fresh())

    def directory(self) -> TenantDirectory | None:
        """Return the tenants as the next configuration has them."""
        if not self._held:
            return None
        tenants = (
            Tenant(name, tuple(keys), priority=number % 3)
            for number, (name, keys) in enumerate(self._held.items())
        )
        return TenantDirectory(tuple(tenants))

    def draw(self) -> str:
        """Return what one of many callers shows; empty: nothing."""
        drawn = self._random.random()
        if drawn < GOOD_SHARE:
            return self._random.choice(self._random.choice(list(self._held.values())))
        if drawn < GOOD_SHARE + OLD_SHARE and self._old:
            return self._random.choice(self._old)
        return self._random.choice(("", UNKNOWN_KEY))

    def first(self) -> str:
        """Return the newest key of the first tenant."""
        return next(iter(self._held.values()))[-1]

    def requests(self, path: str, key: str) -> tuple[OpaqueRequest, OpaqueRequest | None]:
        """Return a caller's request as it shows a key, and without what says who calls."""
        own: Headers = ((b"Authorization", b"Bearer " + key.encode()),) if key else ()
        if self._random.random() < FORGED_SHARE:
            own = (*own, (b"Tenant", b"tenant-0"))
        bare = OpaqueRequest(b"GET", path.encode(), ())
        return OpaqueRequest(b"GET", path.encode(), own), bare if own else None

    def _fresh(self) -> str:
        self._made += 1
        return f"key-{self._made}"
