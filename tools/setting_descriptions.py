"""Descriptions of the settings, for the reference page."""

from __future__ import annotations

DESCRIPTIONS = {
    "node_id": "Name of the entry VM; a replacement VM may reuse it.",
    "data_centre": "Data centre that the entry VM runs in.",
    "http_address": "Address for callers and operators.",
    "peer_address": "Address for other entry VMs.",
    "platform_url": "Base URL of the store and of the list of VMs.",
    "peer_key": "Key that signs messages between entry VMs.",
    "peer_key_previous": "Previous key, still accepted during a key rotation.",
    "store_kind": "Adapter of the store.",
    "directory_kind": "Adapter of the list of VMs.",
    "worker_kind": "Adapter of the workers.",
    "executor_kind": "Adapter of the executors.",
    "tls_certificate_file": "PEM certificate chain of the HTTP "
    "interface; plain HTTP if empty.",
    "tls_key_file": "PEM key of the certificate; set both or neither.",
    "statsd_address": "Address that metrics are sent to; if empty, "
    "none are sent.",
    "operator_token_sha256": "SHA-256 hash of the operator token that "
    "applies the first folder.",
    "log_level": "Lowest level that is logged.",
    "owner_lease_s": "Lease of the VM that schedules; another VM takes "
    "over from a failed one once the lease has expired.",
    "worker_lease_s": "How long tasks keep running without a lease "
    "renewal; the resources of a failed worker stay allocated this long.",
    "worker_renewal_s": "Longest interval between lease renewals of a worker.",
    "gang_hold_s": "Lease of held resources, and of gang members started "
    "but not yet confirmed.",
    "heartbeat_interval_s": "Interval between heartbeats to other entry VMs.",
    "directory_interval_s": "Interval between reads of the list of VMs.",
    "store_timeout_s": "Timeout of one call to the store.",
    "worker_timeout_s": "Timeout of one call to a worker.",
    "checkpoint_timeout_s": "Timeout of a checkpoint before a stop.",
    "job_retention_s": "How long an ended job can be looked up.",
    "job_retention_count": "How many ended jobs can be looked up.",
    "drain_wait_s": "Wait before a drain, in which the load balancer notices "
    "that the VM is leaving.",
    "drain_timeout_s": "Timeout of a graceful shutdown.",
    "max_body_bytes": "Maximum size of a request body.",
    "max_header_bytes": "Maximum size of the request headers.",
    "max_connections": "Maximum number of open caller connections.",
    "max_buffered_bytes": "Maximum size of all bodies held in memory at once.",
    "max_waiting_requests": "Maximum number of requests that wait for an "
    "executor.",
    "claim_retention_s": "How long the claim of a request is kept.",
    "routing_policy": "How the executor of a request is chosen.",
}
