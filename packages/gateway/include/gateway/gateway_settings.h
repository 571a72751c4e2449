#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "gateway/header_names.h"
#include "model/endpoint.h"
#include "model/ids.h"
#include "routing/replica_choice.h"
#include "routing/retry_budget.h"

namespace jackdawrack {

/// Settings of a `Gateway`.
struct GatewaySettings {
  InstanceId m_id;
  /// Failure domain of this instance.
  FailureDomain m_domain;
  /// Region of each failure domain; a failure domain without an entry is a
  /// region of its own.
  std::map<FailureDomain, std::string> m_regions;
  /// Address on which callers' connections are accepted.
  Endpoint m_callers;
  HeaderNames m_headers;
  RetryBudgetSettings m_retry_budget;
  /// Longest time for which an upstream that leaves may get requests.
  Milliseconds m_drain_bound{3'000};
  ReplicaChoiceSettings m_replica_choice;
  /// Maximum size of the body of an upstream's response.
  std::size_t m_max_response_bytes = 2 << 20;
  /// Maximum memory that the buffered bodies of all requests and responses use
  /// together.
  std::size_t m_max_buffered_bytes = 32 << 20;
  /// One of every `m_log_sample` complete successes is logged; at least 1.
  std::uint64_t m_log_sample = 64;

  /// True if both failure domains are in one region.
  [[nodiscard]] bool IsSameRegion(const FailureDomain& a,
                                  const FailureDomain& b) const;

  /// Distance to replicas in `domain`.
  [[nodiscard]] Proximity ProximityOf(const FailureDomain& domain) const;
};

}  // namespace jackdawrack
