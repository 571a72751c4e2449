#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "gateway_context.h"
#include "routed_request.h"

namespace jackdawrack {

/// Outcome of a request to one service after all attempts.
enum class SubRequestOutcome : std::uint8_t {
  /// An upstream returned a response of its own, with its signature.
  kAnswered,
  /// No upstream executed the request: every attempt was refused or not sent.
  kNotExecuted,
  /// The request may have been executed, but there is no response to return or
  /// only an upstream's error response.
  kFailed,
};

/// Result of a request to one service, with the upstream's response or error
/// response if there is one.
struct SubRequestResult {
  SubRequestOutcome m_outcome = SubRequestOutcome::kNotExecuted;
  std::optional<UpstreamResponse> m_response;

  /// True if an upstream returned a response with a status of success.
  [[nodiscard]] bool IsSuccess() const;
};

/// State of one attempt.
enum class AttemptState : std::uint8_t {
  kRunning,
  kAnswered,
  kRefused,
  kFailed,
  kNotSent,
  /// Stopped because its response was no longer needed.
  kAbandoned,
};

/// Why an attempt was made.
enum class AttemptReason : std::uint8_t { kFirst, kHedge, kRetry };

/// One attempt to get a response from a replica.
struct Attempt {
  std::shared_ptr<ReplicaConnectionPool> m_pool;
  SentRequest m_sent_request;
  AttemptReason m_reason = AttemptReason::kFirst;
  AttemptState m_state = AttemptState::kRunning;
  /// HTTP status of the upstream's response; 0 if there was none.
  unsigned m_status = 0;
  TimePoint m_sent_at{};
  TimePoint m_ended_at{};
  /// Part of the time that it took to open the connection; known at the end.
  Duration m_connect_time{};

  [[nodiscard]] bool IsRunning() const {
    return m_state == AttemptState::kRunning;
  }
};

/// Sends one request to replicas of one service until one of them responds. A
/// request that was not executed is retried; an idempotent one is also retried
/// after failures and hedged. The route's maximum number of attempts and the
/// service's retry budget limit both.
class SubRequest final : public std::enable_shared_from_this<SubRequest> {
 public:
  using Handler = std::function<void(SubRequestResult)>;
  using WakeListener = std::function<void(TimePoint)>;

  /// `handler` is called once, possibly before `Start` returns, unless `Stop`
  /// is called first. `on_earlier_wake` is called with the new time whenever
  /// `NextWakeAt` moves to an earlier time.
  SubRequest(const GatewayContext& context,
             std::shared_ptr<const RoutedRequest> request,
             const ServiceName& service,
             Handler handler,
             WakeListener on_earlier_wake);

  SubRequest(const SubRequest&) = delete;
  SubRequest& operator=(const SubRequest&) = delete;

  /// Makes the first attempt, or waits for a connection to make it on.
  void Start();

  /// Checks again for a free connection if the request waits for one, or sends
  /// a hedge if it is due and the retry budget allows it.
  void Wake(TimePoint now);

  /// When `Wake` has to be called next; `TimePoint::max()` for never.
  [[nodiscard]] TimePoint NextWakeAt() const { return m_wake_at; }

  /// Abandons all running attempts; the handler is not called afterwards.
  void Stop(TimePoint now);

  /// When an upstream may take the request, if it was not executed because all
  /// upstreams have asked for a pause.
  [[nodiscard]] std::optional<TimePoint> RetryAt() const { return m_retry_at; }

  [[nodiscard]] bool IsFinished() const { return m_is_finished; }

  /// True if an upstream may have executed the request: it was handed to an
  /// upstream's connection and not refused.
  [[nodiscard]] bool MayHaveExecuted() const { return m_may_have_executed; }

  /// All attempts so far, in the order in which they were made.
  [[nodiscard]] const std::vector<Attempt>& Attempts() const {
    return m_attempts;
  }

 private:
  void SendOrWait();
  void WaitForConnection(TimePoint now);
  /// True if the pause of all upstreams is short enough to wait for its end.
  [[nodiscard]] bool EndsSoon(std::optional<TimePoint> pause_end) const;
  void TrySendHedge(TimePoint now);
  [[nodiscard]] bool HasWaitedTooLong(TimePoint now) const;
  void SendTo(const std::shared_ptr<ReplicaConnectionPool>& pool,
              AttemptReason reason);
  void OnAttemptEnded(std::size_t index, ExchangeResult result);
  [[nodiscard]] AttemptState Classify(const ExchangeResult& result) const;
  /// True if the response may be given to the caller as it is.
  [[nodiscard]] bool CanBeRelayed(const UpstreamResponse& response) const;
  void OnAttemptFailed(const Attempt& attempt,
                       std::optional<UpstreamResponse> response);
  void RetryOrFinish();
  [[nodiscard]] bool IsRunning() const;
  void FinishWithFailure();
  void Finish(SubRequestResult result);
  void StopAttempts(TimePoint now);

  GatewayContext m_context;
  const std::shared_ptr<const RoutedRequest> m_request;
  ReplicaGroup& m_group;
  Handler m_handler;
  WakeListener m_on_earlier_wake;
  std::vector<Attempt> m_attempts;
  std::vector<UpstreamId> m_tried_replicas;
  /// Number of attempts that reached, or may have reached, an upstream.
  std::uint32_t m_delivered_attempts = 0;
  bool m_may_have_executed = false;
  bool m_is_waiting = false;
  bool m_is_finished = false;
  TimePoint m_wake_at = TimePoint::max();
  std::optional<TimePoint> m_retry_at;
  std::optional<UpstreamResponse> m_last_error_response;
};

}  // namespace jackdawrack
