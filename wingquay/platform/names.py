"""Names on the platform's wire: headers, store keys, calls and words."""

REQUEST_ID = b"Request-Id"
DEADLINE_MS = b"Deadline-Ms"
SIGNATURE = b"Server-Stamp"
EXPECTED_REPLICA = b"Expected-Instance"
REPORTED_LOAD = b"Server-Load"
NOT_RUN = b"Not-Executed"
RETRY_AFTER = b"Retry-After"
MERGED_SIGNATURES = b"Part-Stamps"
MISSING_SHARDS = b"Missing-Shards"

READY_PATH = "/-/ready"
STORE_RANGE = "/-/kv-range"
STORE_WATCH = "/-/kv-watch"
STORE_TRANSACTION = "/-/kv-txn"
STORE_LEASE = "/-/kv-lease"
STORE_KEEP = "/-/kv-keep/"
STORE_LEASE_END = "/-/kv-lease-end/"

CONFIGURATION_KEY = "op/config"
REPLICA_PREFIX = "servers/"
NODE_PREFIX = "wingquay/nodes/"
CLUSTER_KEY = "wingquay/cluster-key"

DRAINING = "draining"
REPEATABLE = "idempotent"

SETTINGS_PATH_VARIABLE = "WINGQUAY_BOOT"
