// Messages between entry VMs. The generated module is committed:
//   make generate
// Field numbers are never reused; new fields are optional.

namespace py messages

// Number of requests that the sender runs on an executor.
struct ExecutorShare {
  1: required string executor_id
  2: required i32 running
}

// Free accelerators and queue length of a data centre, sent by the node
// that schedules it.
struct RoomSummary {
  1: required string data_centre
  2: required i32 free_accelerators
  3: required i32 queued_jobs
  4: required i64 epoch
}

// First frame of a connection; identifies the sender. Field numbers 1 to 3
// of Heartbeat and HeartbeatReply, which used to do so, are retired.
struct Hello {
  1: required string node_id
  2: required string data_centre
  3: required string address
  4: required binary nonce
}

struct PeerAddress {
  1: required string node_id
  2: required string data_centre
  3: required string address
}

struct HelloReply {
  1: required string node_id
  2: optional list<PeerAddress> peers
}

// State of the sender. An absent field is unchanged since the last heartbeat.
struct Heartbeat {
  4: optional i64 revision
  5: optional bool draining
  6: optional list<ExecutorShare> executors
  7: optional RoomSummary room
  8: optional bool store_reachable
  9: optional i64 highest_revision
  10: optional bool known
  11: optional i64 state_sequence
}

struct HeartbeatReply {
  4: optional Heartbeat state
}

// Accepted revisions as encoded in the store, or a snapshot of the whole
// folder of configuration files.
struct RevisionPush {
  1: required list<binary> entries
  2: optional binary snapshot
  3: optional i64 highest_revision
}

// after_revision -1 requests a snapshot of the whole folder.
struct RevisionFetch {
  1: required i64 after_revision
}

// A job operation for the node that schedules the data centre.
struct JobCall {
  1: required string operation
  2: required string body_json
}

struct JobReply {
  1: required bool handled
  2: required string body_json
}

struct Acknowledgement {
  1: required i64 revision
}

union Body {
  1: Heartbeat heartbeat
  2: HeartbeatReply heartbeat_reply
  3: RevisionPush revision_push
  4: RevisionFetch revision_fetch
  5: JobCall job_call
  6: JobReply job_reply
  7: Acknowledgement acknowledgement
  8: Hello hello
  9: HelloReply hello_reply
}

// The frame's digest covers the encoded envelope and is not part of it.
// Field numbers 1 and 2, once the sender and its clock, are retired.
struct Envelope {
  3: required i64 sequence
  4: required Body body
}
