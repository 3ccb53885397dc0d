"""Offering seats to the nodes that should hold them."""

from wingquay.claims.directory import SeatDirectory
from wingquay.claims.seat import Seat, SeatOffer, SeatStatus, SeatTable
from wingquay.claims.settings import ClaimsSettings
from wingquay.model.identifiers import NodeId
from wingquay.ports.machine import Action
from wingquay.ports.peer import NodeIdentity, SendToPeer
from wingquay.ports.peer_claims import ClaimSeatOffer


class SeatOffers:
    """Offers the seats that another node should hold, until it has fetched them."""

    def __init__(
        self,
        settings: ClaimsSettings,
        seats: SeatTable,
        directory: SeatDirectory,
    ) -> None:
        self._settings = settings
        self._seats = seats
        self._directory = directory
        self._leaving = False
        self._offers = 0
        self._next_offer_at = 0.0
        self._greeted: set[NodeId] = set()

    def on_membership(self) -> None:
        """Offer at the next tick, and greet the nodes that are new in the zone."""
        self.offer_soon()
        mates = self._directory.mates(self._seats.identity)
        self._greeted &= {node.node_id for node in mates}

    def link_broken(self, node_id: NodeId) -> None:
        """Greet the node again: it may not have heard the first time."""
        self._greeted.discard(node_id)

    def begin_leaving(self) -> None:
        """Offer every seat to the node that holds it next."""
        self._leaving = True
        self.offer_soon()

    def offer_soon(self) -> None:
        """Offer at the next tick, not after the usual time."""
        self._next_offer_at = 0.0

    def seats_to_hand_over(self) -> int:
        """Return how many seats are held that another node should hold."""
        vouching = self._seats.with_status(SeatStatus.VOUCHING)
        return sum(self._receiver(seat) is not None for seat in vouching)

    def tick(self, now: float) -> list[Action]:
        """Offer now and then."""
        if now < self._next_offer_at:
            return []
        self._next_offer_at = now + self._settings.table_retry_seconds
        return self._offer()

    def _offer(self) -> list[Action]:
        offered: dict[SeatOffer, tuple[NodeIdentity, list[int]]] = {}
        self._offers += 1
        offer_id = f"{self._seats.identity.node_id}/{self._offers}"
        for seat in self._seats.with_status(SeatStatus.VOUCHING):
            receiver = self._receiver(seat)
            if receiver is None:
                seat.offer = None
                continue
            if seat.offer is None or seat.offer.receiver != receiver.node_id:
                seat.offer = SeatOffer(offer_id, receiver.node_id)
            offered.setdefault(seat.offer, (receiver, []))[1].append(seat.partition)
        self._greeted |= {offer.receiver for offer in offered}
        actions: list[Action] = [
            SendToPeer(receiver, ClaimSeatOffer(offer.offer_id, tuple(partitions)))
            for offer, (receiver, partitions) in offered.items()
        ]
        return actions + self._greet(offer_id)

    def _greet(self, offer_id: str) -> list[Action]:
        """Tell nodes seen for the first time that there is nothing to offer them."""
        mates = self._directory.mates(self._seats.identity)
        strangers = [node for node in mates if node.node_id not in self._greeted]
        self._greeted |= {node.node_id for node in strangers}
        return [SendToPeer(node, ClaimSeatOffer(offer_id, ())) for node in strangers]

    def _receiver(self, seat: Seat) -> NodeIdentity | None:
        identity = self._seats.identity
        if self._leaving:
            return self._directory.successor(identity, seat.partition)
        holder = self._directory.holder(identity.deployment, identity.zone, seat.partition)
        is_other = holder is not None and holder.node_id != identity.node_id
        return holder if is_other else None
