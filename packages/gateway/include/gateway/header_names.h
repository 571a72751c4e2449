#pragma once

#include <string>

namespace jackdawrack {

/// Names of the HTTP header fields that are exchanged between callers,
/// instances and upstreams.
struct HeaderNames {
  /// Id of one attempt of a caller; upstreams echo it in the response.
  std::string m_request_id;
  /// Time in milliseconds that the sender waits for the response.
  std::string m_deadline;
  /// Id of the only upstream that may run the request.
  std::string m_expected_upstream;
  /// Signature of the upstream for its response.
  std::string m_signature;
  /// Present in a response if the upstream did not run the request.
  std::string m_not_run;
  /// Has the value 1 in a response if the upstream leaves.
  std::string m_leaving;
  /// Signatures of the parts of a merged response.
  std::string m_part_signatures;
  /// Number of shards that are missing from a merged response.
  std::string m_missing_parts;
};

}  // namespace jackdawrack
