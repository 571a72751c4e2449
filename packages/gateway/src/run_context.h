#pragma once

#include <boost/asio/io_context.hpp>

#include "core/metrics.h"
#include "gateway/gateway_settings.h"
#include "recent_requests.h"
#include "replica_groups.h"
#include "routing/hedge_delays.h"

namespace jackdawrack {

/// Objects that all requests of a gateway share; they outlive the requests.
struct RunContext {
  boost::asio::io_context& m_io;
  const GatewaySettings& m_settings;
  ReplicaGroups& m_replicas;
  HedgeDelays& m_hedge_delays;
  MetricsRegistry& m_metrics;
  RecentRequests& m_recent;
};

}  // namespace jackdawrack
