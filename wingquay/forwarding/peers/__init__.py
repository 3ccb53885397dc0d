"""Work that nodes do for each other: owners of shards, delegation and relays."""
