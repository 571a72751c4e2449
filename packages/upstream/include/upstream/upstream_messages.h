#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "model/ids.h"
#include "model/key_range.h"

namespace jackdawrack {

/// Asks an upstream for the rows of some ranges.
struct UpstreamQuery {
  std::string m_call;
  CollectionName m_collection;
  std::uint64_t m_index_version = 0;
  std::vector<KeyRange> m_ranges;
  std::string m_body;
  std::uint32_t m_remaining_ms = 0;
};

/// What a reply says of the upstream itself.
struct UpstreamReport {
  bool m_is_draining = false;
  /// Index versions that it serves, oldest first; empty if it did not say.
  std::vector<std::uint64_t> m_index_versions;
};

/// How an upstream answered a query.
enum class UpstreamQueryStatus {
  kOk,
  kWrongVersion,
  /// It does not hold all of the ranges; nothing was run.
  kNotHeld,
  /// It refused without running: it sheds load or drains.
  kRefused,
  kFailed,
};

/// An upstream's answer to a query.
struct UpstreamQueryReply {
  UpstreamQueryStatus m_status = UpstreamQueryStatus::kFailed;
  std::uint64_t m_index_version = 0;
  std::vector<KeyRange> m_ranges;
  std::vector<std::string> m_rows;
  UpstreamReport m_report;
};

/// Asks an upstream to run a non-idempotent request.
struct UpstreamExecute {
  std::string m_idempotency_key;
  CollectionName m_collection;
  std::string m_kind;
  std::uint64_t m_shard_key = 0;
  std::string m_body;
  /// Wall-clock time after which the upstream has to refuse to run it.
  UnixMs m_not_after_ms = 0;
};

/// How an upstream answered a non-idempotent request.
enum class UpstreamExecuteStatus {
  kRan,
  /// It says that it did not run and will not.
  kNotRun,
  /// It failed in a way that proves nothing.
  kFailed,
};

/// An upstream's answer to a non-idempotent request.
struct UpstreamExecuteReply {
  UpstreamExecuteStatus m_status = UpstreamExecuteStatus::kFailed;
  std::string m_result;
  UpstreamReport m_report;
};

}  // namespace jackdawrack
