#pragma once

#include <atomic>

#include "core/metrics.h"
#include "entry/entry_service.h"
#include "fleet/control_service.h"
#include "model/instance_settings.h"
#include "net/http_message.h"
#include "owner/owner_service.h"
#include "policy/fleet_view.h"

namespace jackdawrack {

/// What operators and the balancer ask an instance: liveness, readiness,
/// metrics, status, contracts and traces. It changes nothing.
class OperatorApi final {
 public:
  /// All references have to outlive this object.
  OperatorApi(const InstanceSettings& settings,
              const FleetViewHolder& holder,
              MetricsRegistry& metrics,
              const ControlService& control,
              const EntryService& entry,
              const OwnerService& owner,
              const std::atomic<bool>& stopping);

  /// Serves /healthz, /readyz, /metrics, /v1/status, /v1/contracts
  /// and /v1/explain/<request id>.
  [[nodiscard]] HttpReply Handle(const HttpRequest& request);

 private:
  [[nodiscard]] bool IsReady() const;
  // Answers the balancer and logs a change since it asked before.
  [[nodiscard]] HttpReply Readiness();
  [[nodiscard]] HttpReply Status() const;
  [[nodiscard]] HttpReply Contracts() const;
  [[nodiscard]] HttpReply Explain(const std::string& id) const;

  const InstanceSettings& m_settings;
  const FleetViewHolder& m_holder;
  MetricsRegistry& m_metrics;
  const ControlService& m_control;
  const EntryService& m_entry;
  const OwnerService& m_owner;
  const std::atomic<bool>& m_stopping;
  std::atomic<bool> m_was_ready{false};
};

}  // namespace jackdawrack
