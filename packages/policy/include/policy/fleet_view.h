#pragma once

#include <atomic>
#include <memory>

#include "model/fleet_state.h"
#include "policy/ownership.h"

namespace jackdawrack {

/// Immutable fleet state together with the block ownership derived from it.
class FleetView final {
 public:
  /// Computes the ownership from `state`.
  explicit FleetView(FleetState state)
      : m_state(std::move(state)),
        m_ownership(
            std::make_shared<const Ownership>(Ownership::Build(m_state))) {}

  /// Reuses the ownership of `previous` if instances and collections are
  /// unchanged, so that a contract change does not recompute it.
  FleetView(FleetState state, const FleetView& previous)
      : m_state(std::move(state)),
        m_ownership(HasSameOwnershipInputs(m_state, previous.m_state)
                        ? previous.m_ownership
                        : std::make_shared<const Ownership>(
                              Ownership::Build(m_state))) {}

  [[nodiscard]] const FleetState& State() const { return m_state; }
  [[nodiscard]] const Ownership& Owners() const { return *m_ownership; }

 private:
  static bool HasSameOwnershipInputs(const FleetState& a, const FleetState& b) {
    return a.m_instances == b.m_instances && a.m_collections == b.m_collections;
  }

  const FleetState m_state;
  const std::shared_ptr<const Ownership> m_ownership;
};

/// Holds the current fleet view. Thread-safe: `Get` returns an immutable
/// snapshot that a request uses until it ends, while `Set` replaces the current
/// view.
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
