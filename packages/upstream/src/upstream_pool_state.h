#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "policy/decaying_latency_histogram.h"
#include "policy/upstream_health.h"
#include "upstream/upstream_pool.h"

namespace jackdawrack {

/// The state behind an `UpstreamPool`: its queue, slots and connections, and
/// what is known of the upstream. Private members run on its strand.
class UpstreamPoolState final
    : public std::enable_shared_from_this<UpstreamPoolState> {
 public:
  UpstreamPoolState(boost::asio::io_context& context,
                    Upstream upstream,
                    QueryPolicySettings settings,
                    UpstreamCounters& counters);

  // The methods of `UpstreamPool`, which documents them; safe on any thread

  void Submit(std::string call,
              HttpRequest request,
              TimePoint deadline,
              UpstreamPool::ReplyHandler handler,
              RepeatRule rule);

  void Cancel(std::string call, HttpRequest cancel_request);
  void MarkDraining();
  void Withdraw();
  void Probe(HttpRequest probe);
  [[nodiscard]] UpstreamLoad Load() const;
  [[nodiscard]] const Upstream& Target() const { return m_upstream; }

 private:
  struct Job {
    std::string m_call;
    HttpRequest m_request;
    TimePoint m_deadline;
    UpstreamPool::ReplyHandler m_handler;
    RepeatRule m_rule = RepeatRule::kNever;
  };

  struct Connection {
    std::shared_ptr<HttpClient> m_client;
    TimePoint m_made{};
  };

  /// A request that was sent and holds a slot.
  struct Sent {
    std::string m_call;
    Connection m_connection;
    TimePoint m_sent{};
    /// Empty once it was failed at its deadline; the slot stays taken.
    UpstreamPool::ReplyHandler m_handler;
    RepeatRule m_rule = RepeatRule::kNever;
    bool m_is_abandoned = false;
    std::shared_ptr<boost::asio::steady_timer> m_deadline_timer;
  };

  using Queue = std::multimap<TimePoint, Job>;

  // The queue

  void Enqueue(Job job);
  // True when work with this deadline would still wait or run at it. An idle
  // upstream is always tried, so that the service time is learned anew.
  [[nodiscard]] bool IsTooLate(TimePoint deadline) const;
  void StartWhatFits();
  // Fails what waited past its deadline; nothing of it was sent.
  void FailExpired();
  void ScheduleExpiry();
  // Takes back everything that waits; nothing of it was sent.
  void TakeBackQueue(UpstreamErrc code, const char* why);
  void CancelNow(const std::string& call, const HttpRequest& cancel_request);

  // What is known of the upstream

  void NoteState(bool is_draining);
  void NoteConnectFailure();
  void NoteReply();
  void ProbeIfDue(const HttpRequest& probe);

  // Requests that hold a slot

  void Run(Job job, Connection connection);
  void StartDeadline(std::uint64_t id, Sent& sent, Milliseconds timeout);
  // Fails a request at its deadline; the upstream may still run it, so that
  // its slot is not given to another one.
  void OnDeadline(std::uint64_t id);
  void OnReply(std::uint64_t id, const NetResult<HttpReply>& reply);
  // Frees the slot after the time that the upstream usually needs at most.
  void HoldSlot();

  // Connections

  std::optional<Connection> TakeConnection();
  void GiveBack(const Connection& connection);
  // The age at which an unanswered request is suspected of being lost.
  [[nodiscard]] Duration SilentAge() const;
  [[nodiscard]] bool IsSilent(const Sent& sent, TimePoint now) const;
  [[nodiscard]] bool HasSilent() const;
  // Closes connections whose reply is late although something that was sent
  // later, at `answered`, has its reply.
  void AbandonSilent(TimePoint answered);

  boost::asio::io_context& m_context;
  const Upstream m_upstream;
  const QueryPolicySettings m_settings;
  UpstreamCounters& m_counters;
  const std::uint32_t m_connection_share;
  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  boost::asio::steady_timer m_queue_timer;
  Queue m_queue;
  std::map<std::uint64_t, Sent> m_sent;
  std::uint64_t m_last_sent = 0;
  bool m_is_probing = false;
  std::vector<Connection> m_idle;
  std::uint32_t m_connections = 0;
  std::atomic<std::uint32_t> m_running{0};
  std::atomic<std::uint32_t> m_queued{0};
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_lost{false};
  UpstreamHealth m_health;
  DecayingLatencyHistogram m_service;
};

}  // namespace jackdawrack
