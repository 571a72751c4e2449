#pragma once

#include <string>

namespace jackdawrack {

/// Names of the header fields that callers, instances and upstreams exchange.
struct WireHeaders {
  /// Identifies one attempt of a caller; upstreams echo it.
  std::string m_request_id;
  /// Milliseconds that the sender will wait.
  std::string m_deadline;
  /// The only upstream that may run the request.
  std::string m_expected_upstream;
  /// An upstream's signature under its answer.
  std::string m_signature;
  /// Present where the upstream did not run the request.
  std::string m_not_run;
  /// Signatures of the parts of a merged answer.
  std::string m_part_signatures;
  /// Shards that a merged answer lacks.
  std::string m_missing_parts;
};

}  // namespace jackdawrack
