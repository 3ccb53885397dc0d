"""Settings of the coordinator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuerySettings:
    """How a coordinator plans, waits and answers.

    Parameters
    ----------
    answer_margin_seconds
        Time before the deadline at which the answer leaves, so that it arrives in time, 0 to 1;
        at most a tenth of the deadline is taken. Default 0.01.
    most_replans
        Times that a query is planned anew with another snapshot, 0 to 10. Default 3.
    most_piece_retries
        Times that keys left without an answer are asked for again, 0 to 10. Default 3.
    piece_retry_seconds
        Wait before keys whose replicas failed are asked for again; doubles each time. Default
        0.02.
    owner_silence_seconds
        Silence of an owner that owes results after which another owner is asked. Must be
        several times ``owner_heartbeat_seconds``. Default 0.1.
    promise_share
        Share of a class's promise that may go into waiting for a slot before its requests are
        refused, 0 to 1. Default 0.8.
    retry_after_seconds
        Shortest time that a refused caller is told to wait. Default 0.05.
    loop_lag_limit_seconds
        Lateness of the node's event loop from which it refuses the cheapest class, then the
        next. Default 0.1.
    pressure_retry_seconds
        What callers refused for that reason are told to wait. Default 1.
    stop_linger_seconds
        Time after the start of a planned stop in which requests are still taken, while callers
        notice that the node is not ready, 0 to 60. Default 0.5.
    """

    answer_margin_seconds: float = 0.01
    most_replans: int = 3
    most_piece_retries: int = 3
    piece_retry_seconds: float = 0.02
    owner_silence_seconds: float = 0.1
    promise_share: float = 0.8
    retry_after_seconds: float = 0.05
    loop_lag_limit_seconds: float = 0.1
    pressure_retry_seconds: float = 1.0
    stop_linger_seconds: float = 0.5
