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

/// Implementation of `UpstreamPool`: its queue, slots, connections and the
/// observed state of the upstream. Private methods run on the strand.
class UpstreamPoolState final
    : public std::enable_shared_from_this<UpstreamPoolState> {
 public:
  UpstreamPoolState(boost::asio::io_context& context,
                    Upstream upstream,
                    QueryPolicySettings settings,
                    UpstreamCounters& counters);

  // Methods of `UpstreamPool`, documented there; thread-safe

  void Submit(std::string call,
              HttpRequest request,
              TimePoint deadline,
              UpstreamPool::ReplyHandler handler,
              Idempotency idempotency);

  void Cancel(std::string call, HttpRequest cancel_request);
  void MarkDraining();
  void DrainQueue();
  void Probe(HttpRequest probe);
  [[nodiscard]] UpstreamLoad Load() const;
  [[nodiscard]] const Upstream& Target() const { return m_upstream; }

 private:
  /// A request that waits for a slot.
  struct QueuedRequest {
    std::string m_call;
    HttpRequest m_request;
    TimePoint m_deadline;
    UpstreamPool::ReplyHandler m_handler;
    Idempotency m_idempotency = Idempotency::kNonIdempotent;
  };

  /// An open or new connection and the time of its creation.
  struct Connection {
    std::shared_ptr<HttpClient> m_client;
    TimePoint m_created_at{};
  };

  /// A request that was sent and occupies a slot.
  struct InFlightRequest {
    std::string m_call;
    Connection m_connection;
    TimePoint m_sent_at{};
    /// Empty once the request has failed at its deadline; the slot remains
    /// occupied.
    UpstreamPool::ReplyHandler m_handler;
    Idempotency m_idempotency = Idempotency::kNonIdempotent;
    bool m_is_abandoned = false;
    std::shared_ptr<boost::asio::steady_timer> m_deadline_timer;
  };

  using Queue = std::multimap<TimePoint, QueuedRequest>;

  // Queue

  void Enqueue(QueuedRequest queued);
  // Returns true if a request with this deadline would not complete in time.
  // Always false while a slot is free, so that the service time keeps being
  // measured.
  [[nodiscard]] bool WouldMissDeadline(TimePoint deadline) const;
  void StartQueuedRequests();
  // Fails queued requests whose deadline has passed; they were not sent.
  void FailExpired();
  void ScheduleExpiry();
  // Fails all queued requests; they were not sent.
  void FailQueue(UpstreamErrc code, const char* message);
  // Runs `Cancel` on the strand.
  void CancelOnStrand(const std::string& call,
                      const HttpRequest& cancel_request);

  // Observed state of the upstream

  // Handles a report of the upstream whether it is draining.
  void UpdateDraining(bool is_draining);
  void RecordConnectFailure();
  // Resets the count of connection failures; an unreachable upstream becomes
  // reachable again.
  void RecordReply();
  void ProbeIfDue(const HttpRequest& probe);

  // Requests in flight

  void SendRequest(QueuedRequest queued, Connection connection);
  void StartDeadlineTimer(std::uint64_t id,
                          InFlightRequest& request,
                          Milliseconds timeout);
  // Fails a request at its deadline. Its slot remains occupied, since the
  // upstream may still be executing the request.
  void OnDeadline(std::uint64_t id);
  void OnReply(std::uint64_t id, const NetResult<HttpReply>& reply);
  // Keeps a slot occupied for the 99th percentile of the service time, then
  // frees it.
  void HoldSlot();

  // Connections

  std::optional<Connection> AcquireConnection();
  void ReleaseConnection(const Connection& connection);
  // Returns the age at which the reply to a request counts as overdue.
  [[nodiscard]] Duration OverdueAge() const;
  [[nodiscard]] bool IsOverdue(const InFlightRequest& request,
                               TimePoint now) const;
  [[nodiscard]] bool HasOverdueReply() const;
  // Closes the connections of overdue requests that were sent before
  // `sent_before`, the send time of a request that has been answered.
  void CloseOverdueConnections(TimePoint sent_before);

  boost::asio::io_context& m_context;
  const Upstream m_upstream;
  const QueryPolicySettings m_settings;
  UpstreamCounters& m_counters;
  const std::uint32_t m_max_connections;
  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  boost::asio::steady_timer m_queue_timer;
  Queue m_queue;
  std::map<std::uint64_t, InFlightRequest> m_in_flight;
  std::uint64_t m_last_request_id = 0;
  bool m_is_probing = false;
  std::vector<Connection> m_idle_connections;
  std::uint32_t m_connection_count = 0;
  std::atomic<std::uint32_t> m_running{0};
  std::atomic<std::uint32_t> m_queued{0};
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_unreachable{false};
  UpstreamHealth m_health;
  DecayingLatencyHistogram m_service_times;
};

}  // namespace jackdawrack
