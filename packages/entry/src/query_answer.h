#pragma once

#include <string>
#include <vector>

#include "core/clock.h"
#include "model/request_id.h"
#include "policy/query_merge.h"

namespace jackdawrack {

/// The merged answer to one query.
struct QueryAnswer {
  RequestId m_request;
  std::uint64_t m_index_version = 0;
  std::uint64_t m_map_revision = 0;
  /// Covered fraction of the requested keys, from 0 to 1.
  double m_coverage = 0;
  /// True if the coverage is at least the contract's minimum coverage.
  bool m_is_sufficient = false;
  std::vector<MissingRange> m_missing;
  std::vector<std::string> m_rows;
  Duration m_elapsed{};
};

}  // namespace jackdawrack
