#pragma once

#include <atomic>
#include <memory>

#include "model/fleet_state.h"
#include "policy/ownership.h"

namespace jackdawrack {

/// A fleet state together with the ownership that follows from it.
class FleetView final {
 public:
  explicit FleetView(FleetState state)
      : m_state(std::move(state)), m_ownership(Ownership::Build(m_state)) {}

  [[nodiscard]] const FleetState& State() const { return m_state; }
  [[nodiscard]] const Ownership& Owners() const { return m_ownership; }

 private:
  const FleetState m_state;
  const Ownership m_ownership;
};

/// Holds the current view; readers keep the one they took for a whole request.
class FleetViewHolder final {
 public:
  FleetViewHolder() : m_view(std::make_shared<FleetView>(FleetState())) {}

  [[nodiscard]] std::shared_ptr<const FleetView> Get() const {
    return m_view.load();
  }

  void Set(std::shared_ptr<const FleetView> view) {
    m_view.store(std::move(view));
  }

 private:
  std::atomic<std::shared_ptr<const FleetView>> m_view;
};

}  // namespace jackdawrack
