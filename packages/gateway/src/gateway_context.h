#pragma once

#include <boost/asio/io_context.hpp>

#include "core/metrics.h"
#include "gateway/gateway_settings.h"
#include "recent_requests.h"
#include "replica_groups.h"
#include "routing/hedge_delays.h"

namespace jackdawrack {

/// Objects that all requests of a gateway share; they outlive the requests.
struct GatewayContext {
  boost::asio::io_context& m_io_context;
  const GatewaySettings& m_settings;
  ReplicaGroups& m_replicas;
  HedgeDelays& m_hedge_delays;
  MetricsRegistry& m_metrics;
  RecentRequests& m_recent_requests;
};

}  // namespace jackdawrack
