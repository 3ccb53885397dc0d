"""What one node computes, sends and receives, by the kind of event or message."""

from collections import Counter, defaultdict

DECISION = "decision"
CODING = "coding"


class NodeMeter:
    """Counts from its making on.

    Attributes
    ----------
    seconds
        Processor time by (decision or coding, kind).
    sent_bytes, received_bytes
        With the headers of every layer from IP on, by kind.
    messages
        Sent and received, by kind.
    """

    def __init__(self) -> None:
        self.seconds: dict[tuple[str, str], float] = defaultdict(float)
        self.sent_bytes: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()

    def send(self, kind: str, size_bytes: int) -> None:
        """Note bytes that leave."""
        self.sent_bytes[kind] += size_bytes
        self.messages[kind] += 1

    def receive(self, kind: str, size_bytes: int) -> None:
        """Note bytes that arrive."""
        self.received_bytes[kind] += size_bytes
        self.messages[kind] += 1

    def total_seconds(self) -> float:
        """Return all processor time."""
        return sum(self.seconds.values())

    def total_bytes(self) -> int:
        """Return all bytes, sent and received."""
        return self.sent_bytes.total() + self.received_bytes.total()
