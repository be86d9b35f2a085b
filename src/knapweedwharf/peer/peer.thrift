// Messages between entry VMs. The generated module is committed:
//   thrift --gen py -out src/knapweedwharf/peer/gen peer.thrift
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

// Sent to every peer at a fixed interval and when something changed.
struct Heartbeat {
  1: required string node_id
  2: required string data_centre
  3: required string address
  4: required i64 revision
  5: required bool draining
  6: optional list<ExecutorShare> executors
  7: optional RoomSummary room
  8: optional bool store_reachable
}

struct HeartbeatReply {
  1: required string node_id
  2: required i64 revision
  3: optional bool store_reachable
}

// One accepted configuration revision, as it stands in the store.
struct RevisionPush {
  1: required list<binary> entries
}

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
}

// The digest covers the encoded envelope; it is not part of it.
struct Envelope {
  1: required string sender
  2: required i64 sent_at_ms
  3: required i64 sequence
  4: required Body body
}
