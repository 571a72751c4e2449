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
      : m_state(std::move(state)),
        m_ownership(
            std::make_shared<const Ownership>(Ownership::Build(m_state))) {}

  /// Takes over the ownership of `previous` if nothing that it follows from
  /// has changed, so that a change of contract costs no ranking.
  FleetView(FleetState state, const FleetView& previous)
      : m_state(std::move(state)),
        m_ownership(HasSameLayout(m_state, previous.m_state)
                        ? previous.m_ownership
                        : std::make_shared<const Ownership>(
                              Ownership::Build(m_state))) {}

  [[nodiscard]] const FleetState& State() const { return m_state; }
  [[nodiscard]] const Ownership& Owners() const { return *m_ownership; }

 private:
  static bool HasSameLayout(const FleetState& a, const FleetState& b) {
    return a.m_instances == b.m_instances && a.m_collections == b.m_collections;
  }

  const FleetState m_state;
  const std::shared_ptr<const Ownership> m_ownership;
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
