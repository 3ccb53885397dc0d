"""Generated protobuf code for the messages between nodes; made by ``make proto``."""
