#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "model/ids.h"
#include "model/key_range.h"

namespace jackdawrack {

/// A query for the rows of one or more key ranges.
struct UpstreamQuery {
  /// Call ID, by which the query can be cancelled.
  std::string m_call;
  CollectionName m_collection;
  /// Index version that has to answer the query.
  std::uint64_t m_index_version = 0;
  std::vector<KeyRange> m_ranges;
  /// Query body, passed to the upstream unchanged.
  std::string m_body;
  /// Time left until the deadline.
  std::uint32_t m_remaining_ms = 0;
};

/// State of the upstream, as reported in the headers of its replies.
struct UpstreamReport {
  bool m_is_draining = false;
  /// Index versions that the upstream serves, oldest first; empty if the reply
  /// does not state them.
  std::vector<std::uint64_t> m_index_versions;
};

/// Result of a query on an upstream.
enum class UpstreamQueryStatus {
  kOk,
  /// The upstream does not serve the requested index version.
  kWrongVersion,
  /// The upstream does not serve all of the requested ranges; nothing was
  /// executed.
  kRangesNotServed,
  /// The upstream refused the query without executing it, because it is
  /// overloaded or draining.
  kRefused,
  /// The upstream failed or its reply is malformed.
  kFailed,
};

/// An upstream's reply to a query.
struct UpstreamQueryReply {
  UpstreamQueryStatus m_status = UpstreamQueryStatus::kFailed;
  /// Index version that the rows come from.
  std::uint64_t m_index_version = 0;
  /// Key ranges that the rows cover.
  std::vector<KeyRange> m_ranges;
  std::vector<std::string> m_rows;
  UpstreamReport m_report;
};

/// A non-idempotent request to an upstream.
struct UpstreamExecute {
  std::string m_idempotency_key;
  CollectionName m_collection;
  std::string m_kind;
  std::uint64_t m_shard_key = 0;
  std::string m_body;
  /// Wall-clock time after which the upstream has to refuse the request.
  UnixMs m_not_after_ms = 0;
};

/// Result of a non-idempotent request on an upstream.
enum class UpstreamExecuteStatus {
  /// The request was executed.
  kRan,
  /// The upstream states that it has not executed the request and will not.
  kNotRun,
  /// The request failed; it is unknown whether it was executed.
  kFailed,
};

/// An upstream's reply to a non-idempotent request.
struct UpstreamExecuteReply {
  UpstreamExecuteStatus m_status = UpstreamExecuteStatus::kFailed;
  std::string m_result;
  UpstreamReport m_report;
};

}  // namespace jackdawrack
