// Messages and disk records of the cores' control state: witnesses, views, replication.
// The protocol is described in docs/replication.md.
namespace py core

// One life of one core's disk. A disk that was lost gets a new disk_id.
struct MemberDisk {
  1: required string core_id
  2: required string disk_id
}

// Where a log ends: the entry's epoch and sequence. Equal positions mean equal logs.
struct LogPosition {
  1: required i64 epoch
  2: required i64 sequence
}

// One of the cores that vote, and its internal address.
struct CoreMember {
  1: required string core_id
  2: required string address
}

// Who is the primary, whose disks hold every committed change, and who votes.
struct View {
  1: required i64 epoch
  2: required string primary_id
  3: required list<MemberDisk> in_sync
  4: optional list<CoreMember> members     // absent: the members of the settings
  5: optional list<CoreMember> previous    // set: these vote as well, until the next view
}

// The whole durable state of a witness; the last record of its file counts.
struct WitnessRecord {
  1: required MemberDisk own
  2: required string folder_identity       // of the data folder it was written to
  3: required bool voting                  // false: blank, or lost and not yet recovered
  4: required i64 promised_epoch
  5: optional MemberDisk promised_to
  6: optional View view                    // the accepted one; its epoch is the accepted epoch
  7: required list<MemberDisk> disks       // each core's newest known disk
  8: required list<string> retired         // disk ids whose promises are void
  9: optional list<CoreMember> founders    // set while this witness takes part in the first view
}

// Log entries ---------------------------------------------------------------
struct ConfigurationChange {
  1: required i64 version
  2: required string digest                // sha256 hex of the submitted bytes
  3: required binary document              // the whole resulting document
}
struct ZoneChange {
  1: required string zone
  2: required bool emptied
  3: required string operation_id
}
struct LogEntry {
  1: required i64 epoch
  2: required i64 sequence
  3: optional ConfigurationChange configuration
  4: optional ZoneChange zone
}

// Records of the log file: exactly one field is set.
struct EntryRecord {
  1: required LogEntry entry
  2: required i64 committed                // known to be committed when this was written
}
struct CutRecord {
  1: required i64 after                    // entries of a higher sequence are void
}
struct SnapshotHeader {
  1: required LogPosition position
  2: required i32 parts                    // this many SnapshotPart records follow
}
struct SnapshotPart {
  1: optional binary changes               // of 40 bytes each: version, big-endian, and digest
  2: optional list<ZoneChange> operations
  3: optional ConfigurationChange configuration
  4: optional i64 configuration_epoch
  5: optional list<string> emptied_zones
  6: optional LogPosition zones_position
}
struct LogRecord {
  1: optional EntryRecord entry
  2: optional CutRecord cut
  3: optional SnapshotHeader snapshot
  4: optional SnapshotPart part
}

// Witness messages ------------------------------------------------------------
struct PrepareRequest {
  1: required MemberDisk proposer
  2: required i64 epoch
  3: optional bool joining                 // the asked core is to become a member by this view
}
struct PrepareAnswer {
  1: required bool granted
  2: required MemberDisk voter
  3: required bool voting
  4: required i64 promised_epoch
  5: optional View view
  6: required LogPosition last             // of the voter's data copy, synced
}
struct AcceptRequest {
  1: required MemberDisk proposer
  2: required View view
  3: required list<MemberDisk> promises    // the disks whose promises it rests on
}
struct AcceptAnswer {
  1: required bool accepted
  2: required i64 promised_epoch
}
struct ReadWitnessRequest {
  1: required MemberDisk reader
}
struct ReadWitnessAnswer {
  1: required bool registered              // false: the reader's disk was replaced since
  2: required WitnessRecord state
  3: required LogPosition last
  4: optional i64 reported_epoch           // highest epoch of a primary that a node has reported; 0:
                                           // none within the time to report; unset: still listening
}
// A core that is no member asks the primary to make it one.
struct JoinRequest {
  1: required CoreMember member
  2: required MemberDisk disk
  3: required bool first_start             // one of the cores that the system starts with
  4: optional string core_zone             // set by a core that was never a member: it may succeed its zone's one
}
struct JoinAnswer {
  1: required bool noted                   // the primary will propose it; else ask the address
  2: required string primary_address
}

// A member that is being stopped: a core that waits to join may take its place at once.
struct LeaveRequest {
  1: required string core_id
}
struct LeaveAnswer {
  1: required bool noted
}

// Sent by earlier builds only, which formed the first view by the acceptance of all founders
struct FormViewRequest {
  1: required MemberDisk proposer
  2: required View view
}
struct FormViewAnswer {
  1: required bool accepted
}

// Replication messages, primary to members -------------------------------------
struct EpochRun {
  1: required i64 epoch
  2: required i64 first_sequence
}
struct StartViewRequest {
  1: required View view
  2: required LogPosition base             // everything up to here is in the snapshot
  3: required list<EpochRun> runs          // epochs of the entries after base
  4: required LogPosition last
}
struct StartViewAnswer {
  1: required bool ok
  2: required i64 promised_epoch
  3: required MemberDisk member
  4: required bool needs_snapshot
  5: required i64 matched                  // the log now ends here, equal to the primary's
}
struct AppendRequest {
  1: required i64 epoch
  2: required LogPosition previous
  3: required list<LogEntry> entries
  4: required i64 committed
}
struct AppendAnswer {
  1: required bool ok
  2: required i64 promised_epoch
  3: required i64 synced
}
struct HeartbeatRequest {
  1: required i64 epoch
  2: required MemberDisk primary
  3: required i64 committed
}
struct HeartbeatAnswer {
  1: required bool ok
  2: required i64 promised_epoch
  3: required MemberDisk member
  4: required bool voting
  5: optional bool supports                // it has accepted this view durably: counts for the lease
  6: optional string core_zone             // where this core is
}
struct SnapshotPartRequest {
  1: required i64 epoch
  2: required LogPosition position
  3: required i32 index
  4: required i32 parts
  5: required binary record                // one encoded LogRecord with a part
}
struct SnapshotPartAnswer {
  1: required bool ok
  2: required i64 promised_epoch
}
struct HandOverRequest {
  1: required i64 epoch
  2: required MemberDisk primary           // it acts no more; its lease may be forgotten
}
struct HandOverAnswer {
  1: required bool ok
}

// Runbook "recover": a majority of the disks is lost -----------------------------
struct RecoverRequest {
  1: required string confirmed_plan        // empty: only say what would be done and lost
}
struct RecoverAnswer {
  1: required string outcome               // "plan", "recovered", "not_needed", "refused"
  2: required string plan                  // send it back as confirmed_plan
  3: required list<string> may_be_lost
  4: required string message
}

// The recovering core's order to the other witnesses. It goes past what they promised.
struct AdoptViewRequest {
  1: required MemberDisk proposer
  2: required View view
  3: required list<MemberDisk> disks
}
struct AdoptViewAnswer {
  1: required bool adopted
}
