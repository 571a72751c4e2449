#pragma once

#include <string>
#include <vector>

#include "model/ids.h"
#include "model/key_range.h"

namespace jackdawrack {

/// A query received from a caller.
struct CallerQuery {
  Customer m_customer;
  std::string m_kind;
  std::string m_body;
  /// Key ranges to search; the whole key space if the request lists none.
  std::vector<KeyRange> m_ranges;
};

/// A non-idempotent request received from a caller.
struct CallerRequest {
  Customer m_customer;
  std::string m_kind;
  /// Determines the shard that runs the request.
  std::string m_key;
  std::string m_idempotency_key;
  std::string m_body;
};

}  // namespace jackdawrack
