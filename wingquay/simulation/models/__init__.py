"""Models of back ends and of the platform, without I/O and without a clock of their own.

The simulator drives them on virtual time and the stand-ins serve the same ones on real sockets.
"""
