#pragma once

#include <unordered_map>

#include "caller_session.h"
#include "routing/published_state.h"
#include "routing/weighted_rotation.h"
#include "run_context.h"

namespace jackdawrack {

/// Finds the route of each request and begins its run.
class RequestRouter final : public CallerService {
 public:
  /// `state` outlives the router.
  RequestRouter(const RunContext& context, const PublishedState& state);

  [[nodiscard]] CallerLimits Limits() const override;
  [[nodiscard]] bool KeepsConnections() const override { return !m_is_ending; }

  std::shared_ptr<RequestRun> Serve(CallerMessage message,
                                    TimePoint arrived_at,
                                    RequestRun::AnswerHandler answer) override;

  /// From now on connections are closed after their next answer.
  void EndConnections() { m_is_ending = true; }

 private:
  [[nodiscard]] std::shared_ptr<CallerCall> MakeCall(CallerMessage& message,
                                                     const Route& route,
                                                     TimePoint arrived_at);
  Duration NoteSpentTime(const Route& route, Milliseconds deadline);

  RunContext m_context;
  const PublishedState& m_state;
  bool m_is_ending = false;
  std::unordered_map<std::string, WeightedRotation> m_rotations;
  /// Longest time that callers of a route have asked for: that of a first
  /// attempt.
  std::unordered_map<std::string, Milliseconds> m_first_deadlines;
};

}  // namespace jackdawrack
