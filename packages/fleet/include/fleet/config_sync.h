#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/clock.h"
#include "model/instance_settings.h"
#include "policy/fleet_view.h"

namespace jackdawrack {

/// Keeps the fleet view current: reads the platform by watch and merges what
/// it finds into the store.
class ConfigSync final {
 public:
  /// `holder` has to outlive this object.
  ConfigSync(boost::asio::io_context& context,
             InstanceSettings settings,
             FleetViewHolder& holder);
  ~ConfigSync();

  /// Starts to watch.
  void Start();

  /// Stops to watch.
  void Stop();

  /// True once the configuration was read from the platform or from peers.
  [[nodiscard]] bool IsSynced() const;

  /// Time since the configuration was last known to be current.
  [[nodiscard]] Milliseconds Age() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
