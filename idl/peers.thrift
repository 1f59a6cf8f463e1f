// Messages between the fronts of a region, which tell each other what they have under way.
// Regenerate with scripts/generate (thrift 0.17, py:slots); the generated code is committed.
namespace py peers

// What the sender has under way at one replica.
struct ReplicaUse {
  1: required string replica_id
  2: required i32 running            // requests without an end yet
  3: required i64 waiting_tokens     // prompt tokens of those without a byte of an answer yet
}

// A prompt that the sender has sent to a replica: its shared parts, in their order.
struct SentPrompt {
  1: required string replica_id
  2: required list<string> part_ids
  3: required list<i32> part_tokens
  4: required i64 memory_tokens      // of the replica
}

// All uses of the sender at this moment, and its prompts since its last message.
struct FrontUse {
  1: required string node_id
  2: required string incarnation
  3: required i64 sequence           // grows with each message of one incarnation
  4: required list<ReplicaUse> uses
  5: required list<SentPrompt> prompts
  6: optional i64 prompts_seen       // set: the receiver is asked, as the region's load collector,
                                     // for the other fronts' uses and for prompts after this number
}
struct FrontUseTaken {
  1: optional list<ReplicaUse> others   // sums of what all other fronts have told the collector
  2: optional list<SentPrompt> prompts  // of other fronts
  3: optional i64 prompts_seen          // the number of the newest prompt that is told by now
}
