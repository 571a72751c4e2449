#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "routing/concurrency_limit.h"
#include "routing/replica_availability.h"
#include "routing/replica_choice.h"
#include "routing/replica_observation.h"
#include "routing/replica_record.h"
#include "upstream_connection.h"

namespace jackdawrack {

/// Handle of a request that was sent to a replica, for
/// `ReplicaConnectionPool::Abandon`.
class SentRequest final {
 public:
  SentRequest() = default;
  SentRequest(std::weak_ptr<UpstreamConnection> connection,
              std::uint64_t serial)
      : m_connection(std::move(connection)), m_serial(serial) {}

  [[nodiscard]] const std::weak_ptr<UpstreamConnection>& Connection() const {
    return m_connection;
  }
  [[nodiscard]] std::uint64_t Serial() const { return m_serial; }

 private:
  std::weak_ptr<UpstreamConnection> m_connection;
  std::uint64_t m_serial = 0;
};

/// Number of exchanges with a replica by result.
struct ExchangeCounts {
  std::uint64_t m_answered = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_failed = 0;
  /// Refusals with which the replica asked for a pause.
  std::uint64_t m_pauses = 0;
};

/// Settings of a `ReplicaConnectionPool`.
struct ReplicaConnectionPoolSettings {
  /// Name of the header field which shows that a request did not run.
  std::string m_not_run_header;
  /// Name of the header field with which an upstream says that it leaves.
  std::string m_leaving_header;
  /// Longest time for which an upstream that leaves may get requests.
  Milliseconds m_drain_bound{0};
  Proximity m_proximity = Proximity::kRemote;
};

/// Connections of this instance to one incarnation of a replica, and the
/// latency and failures observed on them.
class ReplicaConnectionPool final
    : public std::enable_shared_from_this<ReplicaConnectionPool> {
 public:
  using Handler = UpstreamConnection::Handler;
  using CapacityListener = std::function<void()>;

  /// `address` is that of the record; `availability` that of the process;
  /// `on_capacity` is called when a connection may have become free;
  /// `response_rules` outlives the pool.
  ReplicaConnectionPool(boost::asio::io_context& context,
                        ReplicaRecord record,
                        const boost::asio::ip::tcp::endpoint& address,
                        std::shared_ptr<ReplicaAvailability> availability,
                        ReplicaConnectionPoolSettings settings,
                        const UpstreamResponseRules& response_rules,
                        CapacityListener on_capacity);

  ReplicaConnectionPool(const ReplicaConnectionPool&) = delete;
  ReplicaConnectionPool& operator=(const ReplicaConnectionPool&) = delete;

  /// Sends a request; `Candidate(...).m_is_usable` must be true. With
  /// `needs_fresh`, an open connection is reused only if it was used recently.
  SentRequest Send(OutgoingRequest request, bool needs_fresh, Handler handler);

  /// Gives up a request: its handler is not called, and the connection is
  /// closed if the exchange does not end soon.
  void Abandon(const SentRequest& sent, TimePoint now);

  /// The current state of the replica as input for `ChooseReplica`.
  [[nodiscard]] ReplicaCandidate Candidate(TimePoint now);

  /// Applies a newer record of the same process.
  void Update(const ReplicaRecord& record);

  /// Sets the number of connections that this instance may hold, at least 1.
  void SetConnectionShare(std::size_t connections);

  /// Sets whether the replica is outside the instance's subset.
  void SetSpare(bool is_spare) { m_is_spare = is_spare; }

  [[nodiscard]] Proximity ReplicaProximity() const {
    return m_settings.m_proximity;
  }

  /// Excludes the replica from new requests, since it was removed or another
  /// upstream uses its address.
  void Retire() { m_is_retired = true; }

  /// Closes connections whose timeout has expired and removes closed ones.
  void CloseTimedOut(TimePoint now);

  /// True if no request is in progress.
  [[nodiscard]] bool HasNoPendingRequests() const {
    return m_pending_requests.empty();
  }

  /// What the replica has said about further requests.
  [[nodiscard]] const ReplicaAvailability& GetAvailability() const {
    return *m_availability;
  }

  /// Exchanges since the pool was created.
  [[nodiscard]] const ExchangeCounts& Counts() const { return m_counts; }

  [[nodiscard]] const ReplicaRecord& Record() const { return m_record; }
  [[nodiscard]] std::size_t ConnectionCount() const {
    return m_connections.size();
  }

 private:
  struct PendingRequest {
    std::uint64_t m_serial = 0;
    TimePoint m_started_at{};
    bool m_is_abandoned = false;
  };

  std::shared_ptr<UpstreamConnection> AcquireConnection(bool needs_fresh,
                                                        TimePoint now);
  void OnResponseHeader(const boost::beast::http::response_header<>& header);
  void CloseUnusedConnections();
  void OnExchangeEnd(std::uint64_t serial,
                     const UpstreamConnection& connection,
                     ExchangeResult result,
                     const Handler& handler);
  [[nodiscard]] bool CanOpenConnection(TimePoint now) const;
  void RecordOpenResult(bool has_succeeded, TimePoint now);
  [[nodiscard]] ExchangeOutcome Classify(const ExchangeResult& result) const;
  void RecordResult(ExchangeOutcome outcome, Duration latency, TimePoint now);
  PendingRequest RemovePending(std::uint64_t serial);

  boost::asio::io_context& m_context;
  ReplicaRecord m_record;
  const boost::asio::ip::tcp::endpoint m_address;
  const std::shared_ptr<ReplicaAvailability> m_availability;
  const ReplicaConnectionPoolSettings m_settings;
  const UpstreamResponseRules& m_response_rules;
  const CapacityListener m_on_capacity;
  ReplicaObservation m_observation;
  ConcurrencyLimit m_concurrency;
  ExchangeCounts m_counts;
  TimePoint m_cold_until{};
  std::size_t m_connection_share = 1;
  /// No connection is opened before this time, which moves later with each
  /// failure to open one.
  TimePoint m_next_open_at{};
  Milliseconds m_open_backoff{0};
  bool m_is_retired = false;
  bool m_is_spare = false;
  std::uint64_t m_next_serial = 1;
  std::deque<PendingRequest> m_pending_requests;
  std::vector<std::shared_ptr<UpstreamConnection>> m_connections;
};

}  // namespace jackdawrack
