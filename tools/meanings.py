"""One sentence on each setting, for the reference page."""

from __future__ import annotations

SETTINGS = {
    "node_id": "Name of the entry VM; a replacement may keep it.",
    "data_centre": "Data centre the entry VM stands in.",
    "http_address": "Address for callers and operators.",
    "peer_address": "Address for other entry VMs.",
    "platform_url": "Base address of the store and the list of VMs.",
    "peer_key": "Key that signs messages between entry VMs.",
    "peer_key_previous": "Older key that is still taken, for a rotation.",
    "store_kind": "Adapter of the store.",
    "directory_kind": "Adapter of the list of VMs.",
    "worker_kind": "Adapter of the workers.",
    "executor_kind": "Adapter of the executors.",
    "tls_certificate_file": "PEM certificate chain of the HTTP "
    "interface; empty speaks plain HTTP.",
    "tls_key_file": "PEM key of the certificate; both or neither.",
    "statsd_address": "Where metrics go; empty sends none.",
    "operator_token_sha256": "Hash of the token that applies a first "
    "folder.",
    "log_level": "Least level that is logged.",
    "owner_lease_s": "Lease of the VM that schedules; a dead one is "
    "replaced after it.",
    "worker_lease_s": "How long tasks run on without a renewal; a dead "
    "worker's places stay taken for it.",
    "worker_renewal_s": "Longest time between renewals of a worker.",
    "gang_hold_s": "Lease of places held, and of members started and not "
    "yet confirmed.",
    "heartbeat_interval_s": "Time between heartbeats to other entry VMs.",
    "directory_interval_s": "Time between readings of the list of VMs.",
    "store_timeout_s": "Limit of one call to the store.",
    "worker_timeout_s": "Limit of one call to a worker.",
    "checkpoint_timeout_s": "Limit of a checkpoint before a stop.",
    "job_retention_s": "How long an ended job can be looked up.",
    "job_retention_count": "How many ended jobs can be looked up.",
    "drain_wait_s": "Time in which the balancer sees that the VM leaves.",
    "drain_timeout_s": "Limit of a graceful shutdown.",
    "max_body_bytes": "Largest body of a call.",
    "max_header_bytes": "Largest header of a call.",
    "max_connections": "Most open connections of callers.",
    "max_buffered_bytes": "Most bytes of bodies in memory at once.",
    "max_waiting_requests": "Most requests that wait for an executor.",
    "claim_retention_s": "How long a request's claim is kept.",
    "routing_policy": "How an executor is chosen.",
}
