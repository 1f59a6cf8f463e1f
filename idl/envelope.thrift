// What goes around every message of the internal channel: one frame holds one envelope.
// Regenerate with scripts/generate (thrift 0.17, py:slots); the generated code is committed.
namespace py envelope

struct Envelope {
  1: required i64 call_id      // chosen by the caller, unique on one connection
  2: required bool is_answer
  3: required string type_name // name of the thrift struct in body
  4: required string sender    // node id
  5: required binary body      // thrift-compact encoded struct
}
