#pragma once

#include <optional>

#include "routed_run.h"
#include "routing/gather_progress.h"

namespace jackdawrack {

/// Sends a request to one replica of every shard and merges their records into
/// one response.
class GatherRun final : public RoutedRun,
                        public std::enable_shared_from_this<GatherRun> {
 public:
  GatherRun(const RunContext& context,
            std::shared_ptr<const RoutedRequest> request,
            ResponseHandler handler);

  void Start() override;
  void CallerLeft() override;

 private:
  void OnPart(std::size_t index, PartResult result);
  void Conclude();
  void WaitForTimer();
  void OnTimer();
  void StopParts(TimePoint now);
  [[nodiscard]] CallerResponse MakeMergedResponse() const;
  [[nodiscard]] CallerResponse MakeFailureResponse(TimePoint now) const;
  void Respond(CallerResponse response);

  RunContext m_context;
  const std::shared_ptr<const RoutedRequest> m_request;
  ResponseHandler m_handler;
  boost::asio::steady_timer m_timer;
  GatherProgress m_progress;
  std::vector<std::shared_ptr<PartRun>> m_parts;
  std::vector<std::optional<UpstreamResponse>> m_responses;
  bool m_is_over = false;
  bool m_is_started = false;
};

}  // namespace jackdawrack
