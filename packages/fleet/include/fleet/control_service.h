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

/// Runs the control policy: ticks it, carries its calls to peers, reads the
/// configuration service for it and publishes the fleet view.
class ControlService final {
 public:
  /// `router`, `holder` and `metrics` have to outlive this object.
  ControlService(boost::asio::io_context& context,
                 InstanceSettings settings,
                 PeerRouter& router,
                 FleetViewHolder& holder,
                 MetricsRegistry& metrics);
  ~ControlService();

  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  void Start();
  void Stop();

  /// Answers a peer's JSON-RPC request.
  void OnControl(Hello caller,
                 std::string request,
                 PeerService::ControlSink sink);

  /// Tells the fleet that this instance leaves.
  void AnnounceLeaving();

  /// True once the configuration was read and agreed with peers, or the stated
  /// time for that is over.
  [[nodiscard]] bool IsSynced() const;

  /// Time since the configuration was last known to be current.
  [[nodiscard]] Milliseconds Age() const;

  /// Time since an exchange with any peer, or since the start.
  [[nodiscard]] Milliseconds SinceExchange() const;

  /// Configuration and membership at the last tick.
  [[nodiscard]] std::shared_ptr<const ControlStatus> Status() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
