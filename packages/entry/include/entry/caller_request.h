#pragma once

#include <string>
#include <vector>

#include "model/ids.h"
#include "model/key_range.h"

namespace jackdawrack {

/// A query as a caller sends it.
struct CallerQuery {
  Customer m_customer;
  std::string m_kind;
  std::string m_body;
  /// Ranges to look in; the whole key space if the caller names none.
  std::vector<KeyRange> m_ranges;
};

/// A non-idempotent request as a caller sends it.
struct CallerRequest {
  Customer m_customer;
  std::string m_kind;
  /// Names the shard that runs it.
  std::string m_key;
  std::string m_idempotency_key;
  std::string m_body;
};

}  // namespace jackdawrack
