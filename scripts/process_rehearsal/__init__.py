"""Real processes on loopback: started, killed, paused and replaced under load, then checked."""
