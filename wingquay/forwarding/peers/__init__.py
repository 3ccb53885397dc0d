"""Work that nodes do for each other: shard ownership, delegation and relays."""
