#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "caller_call.h"
#include "run_context.h"

namespace jackdawrack {

/// How the sends of a call to one service ended.
enum class PartEnd : std::uint8_t {
  /// An upstream gave its own answer, with its signature.
  kAnswered,
  /// Nothing ran: every send was refused or never left.
  kNotRun,
  /// It may have run; there is no answer to give, or only a failure.
  kFailed,
};

/// The end of a part, with the upstream's answer or failure if there is one.
struct PartResult {
  PartEnd m_end = PartEnd::kNotRun;
  std::optional<UpstreamAnswer> m_answer;

  /// A success that may be given to the caller.
  [[nodiscard]] bool IsSuccess() const;
};

/// How one send of a part ended.
enum class AttemptEnd : std::uint8_t {
  kRunning,
  kAnswered,
  kRefused,
  kFailed,
  kNotSent,
  /// Nobody waited for it any more.
  kAbandoned,
};

/// Why a send was made.
enum class AttemptReason : std::uint8_t { kFirst, kHedge, kRetry };

/// One send of a part to a replica.
struct Attempt {
  std::shared_ptr<ReplicaConnectionPool> m_pool;
  SentRequest m_sent;
  AttemptReason m_reason = AttemptReason::kFirst;
  AttemptEnd m_end = AttemptEnd::kRunning;
  /// Status of the upstream's answer; 0 if there was none.
  unsigned m_status = 0;
  TimePoint m_sent_at{};
  TimePoint m_ended_at{};

  [[nodiscard]] bool IsRunning() const { return m_end == AttemptEnd::kRunning; }
};

/// Sends one call to replicas of one service until one answers: repeats what
/// did not run, repeats and hedges what may run more than once, within the
/// route's attempts and the budget of repeats.
class PartRun final : public std::enable_shared_from_this<PartRun> {
 public:
  using Handler = std::function<void(PartResult)>;
  using WakeListener = std::function<void()>;

  /// `handler` is called once, unless the part is stopped before;
  /// `on_earlier_wake` whenever the next wake comes sooner than was said.
  PartRun(const RunContext& context,
          std::shared_ptr<const CallerCall> call,
          const ServiceName& service,
          Handler handler,
          WakeListener on_earlier_wake);

  PartRun(const PartRun&) = delete;
  PartRun& operator=(const PartRun&) = delete;

  /// Sends for the first time.
  void Start();

  /// Tries again to send what waits for a connection, or sends a hedge if it is
  /// time and the budget allows it.
  void Wake(TimePoint now);

  /// When `Wake` should be called next; the maximum if never.
  [[nodiscard]] TimePoint NextWakeAt() const { return m_wake_at; }

  /// Gives up all sends; the handler is not called any more.
  void Stop(TimePoint now);

  [[nodiscard]] bool IsOver() const { return m_is_over; }

  /// A request of this part has been handed to an upstream's connection and
  /// was not refused.
  [[nodiscard]] bool MayHaveRun() const { return m_may_have_run; }

  /// All sends so far, for the log.
  [[nodiscard]] const std::vector<Attempt>& Attempts() const {
    return m_attempts;
  }

 private:
  void SendOrWait();
  void WaitForConnection(TimePoint now);
  void HedgeIfWorth(TimePoint now);
  [[nodiscard]] bool HasWaitedTooLong(TimePoint now) const;
  void SendTo(const std::shared_ptr<ReplicaConnectionPool>& pool,
              AttemptReason reason);
  void OnEnd(std::size_t index, ExchangeResult result);
  [[nodiscard]] AttemptEnd Classify(const ExchangeResult& result) const;
  void OnAttemptFailed(const Attempt& attempt,
                       std::optional<UpstreamAnswer> answer);
  void TryAgain();
  [[nodiscard]] bool IsRunning() const;
  void FinishUnanswered();
  void Finish(PartResult result);
  void StopAttempts(TimePoint now);

  RunContext m_context;
  const std::shared_ptr<const CallerCall> m_call;
  ReplicaGroup& m_group;
  Handler m_handler;
  WakeListener m_on_earlier_wake;
  std::vector<Attempt> m_attempts;
  std::vector<UpstreamId> m_tried;
  /// Sends that reached, or may have reached, an upstream.
  std::uint32_t m_arrivals = 0;
  bool m_may_have_run = false;
  bool m_is_waiting = false;
  bool m_is_over = false;
  TimePoint m_wake_at = TimePoint::max();
  std::optional<UpstreamAnswer> m_last_failure;
};

}  // namespace jackdawrack
