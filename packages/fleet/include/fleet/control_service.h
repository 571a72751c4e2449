#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/metrics.h"
#include "fleet/control_status.h"
#include "model/instance_settings.h"
#include "peer/peer_router.h"
#include "policy/fleet_view.h"

namespace jackdawrack {

/// Drives the `ControlPolicy` of an instance: ticks it periodically, sends its
/// calls to peers, reads the configuration service on its behalf and publishes
/// the resulting fleet view. Thread-safe; the policy runs on a strand.
class ControlService final {
 public:
  /// `router`, `holder` and `metrics` must outlive this object.
  ControlService(boost::asio::io_context& context,
                 InstanceSettings settings,
                 PeerRouter& router,
                 FleetViewHolder& holder,
                 MetricsRegistry& metrics);
  ~ControlService();

  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  /// Schedules the first tick and returns at once.
  void Start();

  /// Stops ticking and reading the configuration service. Returns at once;
  /// requests from peers are still answered.
  void Stop();

  /// Handles a JSON-RPC request from `caller` and passes the serialized reply
  /// to `sink` on the strand.
  void HandleControlRequest(Hello caller,
                            std::string request,
                            PeerService::ControlSink sink);

  /// Tells the peers that this instance is leaving the fleet.
  void AnnounceLeaving();

  /// True once the configuration has been read and agreed with peers, or the
  /// time limit for that has passed.
  [[nodiscard]] bool IsSynced() const;

  /// Time since the configuration was last confirmed to be current. Before the
  /// first confirmation, time since the epoch of the steady clock.
  [[nodiscard]] Milliseconds ConfigAge() const;

  /// Time since the last successful exchange with any peer, or since
  /// construction if there was none.
  [[nodiscard]] Milliseconds TimeSinceExchange() const;

  /// Returns the latest published snapshot of configuration and membership.
  /// Never null.
  [[nodiscard]] std::shared_ptr<const ControlStatus> Status() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
