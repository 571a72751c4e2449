#pragma once

#include <unordered_map>

#include "caller_session.h"
#include "routing/published_state.h"
#include "routing/spent_time.h"
#include "routing/weighted_rotation.h"
#include "run_context.h"

namespace jackdawrack {

/// Finds the route of each request and begins its run.
class RequestRouter final : public CallerRequestHandler {
 public:
  /// `state` outlives the router.
  RequestRouter(const RunContext& context, const PublishedState& state);

  [[nodiscard]] CallerLimits Limits() const override;
  [[nodiscard]] bool AllowsKeepAlive() const override { return !m_is_ending; }

  std::shared_ptr<RoutedRun> Serve(CallerMessage message,
                                   TimePoint arrived_at,
                                   RoutedRun::AnswerHandler answer) override;

  /// From now on connections are closed after their next answer.
  void EndConnections() { m_is_ending = true; }

 private:
  [[nodiscard]] std::shared_ptr<CallerCall> MakeCall(CallerMessage& message,
                                                     const Route& route,
                                                     TimePoint arrived_at);

  [[nodiscard]] std::optional<BusyRefusal> FindBusyRefusal(
      const CallerCall& call);
  void RefuseBusy(const CallerCall& call,
                  const BusyRefusal& refusal,
                  const RoutedRun::AnswerHandler& answer);

  RunContext m_context;
  const PublishedState& m_state;
  bool m_is_ending = false;
  std::unordered_map<std::string, WeightedRotation> m_rotations;
  SpentTime m_spent_time;
};

}  // namespace jackdawrack
