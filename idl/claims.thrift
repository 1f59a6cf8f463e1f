// Messages of once-only requests. A key is claimed at its shard's owner (a front) before it
// is written to a back end; claims are stored by the cores' claim stores. See docs/once-only.md.
// No message but CopyResultRequest and ClaimStatusAnswer carries anything of a caller's request.
namespace py claims

include "control.thrift"

// The right of one attempt at one front to write one key to a back end. Of two records of a
// key the one with the higher (epoch, counter, sequence) counts.
struct ClaimRecord {
  1: required binary key_digest         // 16 bytes, of route and key
  2: required i64 epoch                 // epoch and counter: the owner's fencing token
  3: required i64 counter
  4: required i64 sequence              // grows by one for each claim under a token
  5: required string asker_id           // node id of the front that may write
  6: required string asker_incarnation
  7: required i64 attempt               // number of the attempt within that incarnation
  8: required string copy_id            // node id of the front that keeps a copy of the result
}

// A front asks the owner of the key's shard
struct ClaimRequest {
  1: required i32 shard
  2: required ClaimRecord claim         // epoch, counter and sequence 0: the owner sets them
  3: optional ClaimRecord released      // a claim whose asker attests that it never wrote
}
struct ClaimAnswer {
  1: required string outcome            // "run", "held", "not_owner", "not_ready", "not_recorded"
  2: optional ClaimRecord claim         // run: what was granted; held: who has it
}

// A front asks the holder of a claim, or the front that keeps the copy, what became of it
struct ClaimStatusRequest {
  1: required ClaimRecord claim
  2: required binary payload_digest     // 16 bytes, of the asking caller's payload
}
struct ClaimStatusAnswer {
  1: required string state              // "running", "done", "unknown", "released", "mismatch"
  2: required binary result             // done: the back end's result as JSON, "" if not kept
}
struct CopyResultRequest {
  1: required ClaimRecord claim
  2: required binary payload_digest
  3: required binary result
}
struct CopyResultAnswer {
  1: required bool stored
}

// An owner asks a claim store. Every request installs its token as the shard's fence.
struct ReadClaimsRequest {
  1: required i32 shard
  2: required control.VersionMark token
}
struct ReadClaimsAnswer {
  1: required bool accepted             // false: a higher token is installed
  2: required bool intact               // false: this store may have lost claims of the shard
  3: required string incarnation        // of the store's process
  4: required list<binary> claims       // encoded ClaimRecord
}
struct RecordClaimsRequest {
  1: required i32 shard
  2: required control.VersionMark token
  3: required list<binary> claims       // may be empty: only asks whether the store is intact
}
// Fills a store that isn't intact with all claims of the shard
struct RestoreClaimsRequest {
  1: required i32 shard
  2: required control.VersionMark token
  3: required string incarnation        // the store's, as it said that it isn't intact
  4: required list<binary> claims
}
struct RecordClaimsAnswer {
  1: required bool accepted             // false: a higher token is installed
  2: required bool recorded             // synced to disk, in an intact store
  3: required bool intact
  4: required string incarnation
}

// A new owner asks every front when two or more stores have lost their claims
struct ReadFrontClaimsRequest {
  1: required i32 shard
}
struct ReadFrontClaimsAnswer {
  1: required string incarnation
  2: required list<binary> claims
  3: required bool had_claims           // this process was ever granted a claim, of any shard
}

// One record of a claim store's file; exactly one of the optional fields is set
struct StoredEntry {
  1: required i32 shard
  2: optional control.VersionMark fence
  3: optional binary claim              // encoded ClaimRecord
  4: optional bool intact               // from here on the shard is complete
}
