"""Open-loop load on real sockets: planned, sent at its times, tallied and reported."""
