// Messages between nodes, shared by every role. Owned by the maintainer of main.
// Regenerate with scripts/generate (thrift 0.17, py:slots); the generated code is committed.
namespace py control

// A mark of freshness. Compared as (epoch, counter); a reader never takes a smaller one.
struct VersionMark {
  1: required i64 epoch
  2: required i64 counter
}

// One node's membership record, renewed with its lease.
struct NodeRecord {
  1: required string node_id
  2: required string role            // "core", "front" or "controller"
  3: required string zone
  4: required string region
  5: required string internal_address // "ip:port" of the framed thrift channel
  6: required string http_address     // "ip:port" of the HTTP interface
  7: required string incarnation      // new at every process start
  8: required bool ready
  9: required bool draining
  10: required VersionMark configuration // the configuration this node serves under
}

// The right to act as a singleton role until the lease ends by the holder's own clock,
// counted from when the holder SENT the renewal that was answered. In
// RenewLeaseRequest.held_grants, lease_ms is what is left of it at the send.
struct RoleGrant {
  1: required string role_key        // "placer", "platform-watcher", "prober/3", "claims/17"
  2: required VersionMark token
  3: required i32 lease_ms
}

// The mark of one topic.
struct TopicMark {
  1: required string topic
  2: required VersionMark version
}

struct RenewLeaseRequest {
  1: required NodeRecord node
  2: required list<RoleGrant> held_grants // announced again, so a new primary can rebuild them
  3: required bool leaving                // true: give the lease and all grants back now
  4: required i64 sequence                // grows with each renewal of one incarnation; a late one is ignored
  5: required i64 seen_epoch              // highest epoch that answered this incarnation, 0: none yet
  6: optional bool group_is_starting      // set: this incarnation began with the group's first start
                                          // and no primary has answered it
}
struct RenewLeaseAnswer {
  1: required bool granted
  2: required i32 lease_ms
  3: required list<RoleGrant> grants      // the complete set the node may hold
  4: required i64 epoch
  5: required string primary_address      // empty while unknown; on granted=false: go there
  6: required list<TopicMark> newest      // what a poll would bring, so that a lost poll is noticed
}

// Long poll: the caller names what it holds, the core answers when something is newer
// or when wait_ms is over.
struct TopicUpdate {
  1: required string topic
  2: required VersionMark version
  3: optional VersionMark patch_base      // set: body is a delta against exactly this version
  4: required binary body                 // thrift-compact encoded body struct of the topic
}
struct PollRequest {
  1: required string node_id
  2: required list<TopicMark> held
  3: required i32 wait_ms
}
struct PollAnswer {
  1: required list<TopicUpdate> updates
  2: required bool primary_reachable      // false: this core can't confirm that it is current
  3: required i64 epoch
  4: required string primary_address
}

// A role holder publishes a whole topic; refused unless the token is the current grant's.
struct PublishRequest {
  1: required string topic
  2: required string role_key
  3: required VersionMark token
  4: required i64 sequence                // grows by one for each publication under a token
  5: required binary body
  6: required list<DecisionRecord> decisions
}
struct PublishAnswer {
  1: required bool accepted
  2: required string reason               // "" or why not
  3: required string primary_address
}

// One decision, tied to the change that caused it.
struct DecisionRecord {
  1: required VersionMark token
  2: required i64 sequence
  3: required string kind                 // "plan", "load", "unload", "weights", "evict", "give_up", "node_down", ...
  4: required string cause                // "configuration 12", "demand up 30% in cairo", ...
  5: required string summary              // a sentence
  6: required i64 wall_time_ms            // for people only
}

// Bodies of topics ----------------------------------------------------------
// topic "configuration", mark (epoch of the commit, configuration version)
struct ConfigurationBody {
  1: required i64 version
  2: required string digest               // sha256 hex of document
  3: required binary document             // JSON bytes, exactly as accepted
}
// topic "zones"
struct ZonesBody {
  1: required list<string> emptied_zones
}
// topic "members"
struct MembersBody {
  1: required list<NodeRecord> nodes
  2: required list<RoleOwner> role_owners
  3: optional list<string> core_addresses // internal addresses of all cores
}
struct RoleOwner {
  1: required string role_key
  2: required string node_id
  3: required string internal_address
  4: required VersionMark token
}
// topic "members", as a delta when TopicUpdate.patch_base is set
struct MembersDelta {
  1: required list<NodeRecord> changed_nodes   // new ones and those of which something others use differs
  2: required list<string> gone_nodes          // by node id
  3: required list<RoleOwner> changed_owners
  4: required list<string> gone_roles          // role keys without an owner now
  5: optional list<string> core_addresses      // as in MembersBody, always whole
}
// topic "replicas", published by the platform watcher: what the platform lists
struct ListedReplica {
  1: required string replica_id
  2: required string address              // "ip:port" of its HTTP interface
  3: required string kind                 // "model" or "once"
  4: required string backend              // name of the once-only back end, "" for model replicas
  5: required string region
  6: required string zone
  7: required string resource             // resource type, e.g. "gpu-large"
  8: required double resource_units
  9: required bool leaving
  10: optional i32 slots                  // requests it runs at once, if the list says so
  11: optional i64 cold_ms                // left of its slow start when the list was read
}
struct ReplicasBody {
  1: required list<ListedReplica> replicas
}
// topic "plan", published by the placer
struct LoadedReplica {
  1: required string replica_id
  2: required string incarnation
  3: required list<string> loaded_models  // as REPORTED by the replica
  4: required list<string> intended_models // serve only what is both loaded and intended
  5: required i32 concurrency             // requests it can run at once
  6: required bool cold                   // the report shows an empty cache: new process or new model
  7: required bool healthy
}
struct RouteWeight {
  1: required string model
  2: required string latency_class
  3: required string source_region
  4: required string destination_region
  5: required i32 preference              // 0 first; higher only when lower ones can't take it
  6: required double weight               // share among destinations of one preference
  7: required list<string> home_regions   // the routes with exactly these homes; empty: unbound
}
struct PlanBody {
  1: required i64 configuration_version
  2: required list<LoadedReplica> replicas
  3: required list<RouteWeight> matrix
  4: required string cause
}

// Fronts to the placer --------------------------------------------------------
struct DemandEntry {
  1: required string route
  2: required string model
  3: required string latency_class
  4: required string source_region        // where the caller is
  5: required double requests_per_s
  6: required double prompt_tokens_per_s
  7: required double answer_tokens_per_s
  8: required double refused_per_s
}
struct ReplicaObservation {
  1: required string replica_id
  2: required string incarnation
  3: required i32 successes
  4: required i32 failures
  5: required i32 connect_failures
  6: required double median_first_token_s
}
struct DemandReport {
  1: required string node_id
  2: required string node_incarnation
  3: required i64 sequence
  4: required list<DemandEntry> entries
  5: required list<ReplicaObservation> observations
  6: optional double read_tokens_per_s    // how fast model replicas read prompts, as observed
}
struct DemandAnswer {
  1: required bool accepted               // false: not the placer, look at "members" again
}

// Prober shards to the placer
struct ProbeResult {
  1: required string replica_id
  2: required bool answered
  3: required i64 age_ms                  // since the probe was answered, at sending
  4: required string report_json          // the body of GET /api/report, "" if not answered
  5: required i32 consecutive_failures
}
struct ProbeReport {
  1: required string node_id
  2: required RoleGrant grant
  3: required list<ProbeResult> results
}
struct ProbeReportAnswer {
  1: required bool accepted
  2: optional list<string> probe_soon     // replicas to probe at once, also of other shards
  3: optional list<string> steady         // seen serving by fronts: probe seldom
}

// Operators' orders, forwarded by a front to the primary ----------------------
struct SubmitChangeRequest {
  1: required i64 version
  2: required string digest               // sha256 hex of body: the identity is (version, digest)
  3: required binary body                 // whole JSON document, or a JSON merge patch
  4: required bool is_patch
  5: required i64 base_version            // for patches; 0 for whole documents
  6: optional bool base_required          // a whole document, too, is taken only on base_version
}
struct SubmitChangeAnswer {
  1: required string outcome              // "accepted", "conflict", "invalid", "not_primary", "unavailable", "unknown"
  2: required i64 version                 // accepted: that one; conflict: the newest
  3: required string digest               // conflict: the winner's digest for the asked version, "" if none
  4: required list<string> problems       // invalid: every problem with its path
  5: required string primary_address
  6: required bool repeated               // accepted before: the first answer again
}
struct ReadConfigurationRequest {
  1: required bool linearizable           // true: confirmed by the primary's lease
}
struct ReadConfigurationAnswer {
  1: required bool ok
  2: required ConfigurationBody configuration // version 0 and empty document: none yet
  3: required string primary_address
}
struct SetZoneRequest {
  1: required string zone
  2: required bool emptied
  3: required string operation_id         // a repeat is acknowledged again
  4: optional VersionMark known_zones     // set: taken only while no later order is committed
}
struct SetZoneAnswer {
  1: required string outcome              // as SubmitChangeAnswer.outcome
  2: required string primary_address
  3: required list<string> problems
}
struct ReadDecisionsRequest {
  1: required VersionMark after_token
  2: required i64 after_sequence
  3: required i32 wait_ms
}
struct ReadDecisionsAnswer {
  1: required list<DecisionRecord> decisions
  2: required string primary_address
  3: required bool ok
  4: required bool gap                    // true: older ones than these are gone
}
struct ReadStatusRequest {
}
struct CoreStatus {
  1: required string node_id
  2: required string phase                // "primary", "backup", "joining", "blank", "failed"
  3: required i64 epoch
  4: required string primary_id
  5: required list<string> in_sync
  6: required i64 committed_sequence
  7: required i64 configuration_version
  8: required string note                 // a sentence
}
struct ReadStatusAnswer {
  1: required CoreStatus core
  2: required list<NodeRecord> nodes
  3: required list<RoleOwner> role_owners
  4: required list<string> emptied_zones
}
