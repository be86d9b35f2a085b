// Messages between entry VMs. The generated module is committed:
//   make generate
// Field numbers are never reused; new fields are optional.

namespace py messages

// Where an executor stands in the sender's eyes.
struct ExecutorShare {
  1: required string executor_id
  2: required i32 running
}

// Free accelerators that the scheduling node of a data centre sees.
struct RoomSummary {
  1: required string data_centre
  2: required i32 free_accelerators
  3: required i32 queued_jobs
  4: required i64 epoch
}

// First frame of a connection. Field numbers 1 to 3 of Heartbeat and
// HeartbeatReply once named the sender; the connection does now.
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

// What a node says of itself; absent fields are as said before.
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

// Accepted revisions as they stand in the store, or the whole folder.
struct RevisionPush {
  1: required list<binary> entries
  2: optional binary snapshot
  3: optional i64 highest_revision
}

// after_revision -1 asks for the whole folder.
struct RevisionFetch {
  1: required i64 after_revision
}

// A job operation for the data centre's scheduling node.
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

// The digest covers the encoded envelope; it is not part of it. Field
// numbers 1 and 2 once named the sender and its clock.
struct Envelope {
  3: required i64 sequence
  4: required Body body
}
