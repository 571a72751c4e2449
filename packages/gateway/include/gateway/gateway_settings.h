#pragma once

#include <cstdint>

#include "gateway/header_names.h"
#include "model/endpoint.h"
#include "model/ids.h"
#include "routing/replica_choice.h"
#include "routing/retry_budget.h"

namespace jackdawrack {

/// What the gateway is built from.
struct GatewaySettings {
  FailureDomain m_domain;
  /// Listener for callers.
  Endpoint m_callers;
  HeaderNames m_headers;
  RetryBudgetSettings m_retry_budget;
  ReplicaChoiceSettings m_replica_choice;
  /// One in so many complete successes is logged, 1 at least.
  std::uint64_t m_log_sample = 64;
};

}  // namespace jackdawrack
