#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "routing/concurrency_limit.h"
#include "routing/replica_choice.h"
#include "routing/replica_observation.h"
#include "routing/replica_record.h"
#include "upstream_channel.h"

namespace jackdawrack {

/// Handle of a request that was sent to a replica, for `ReplicaPool::Abandon`.
class SentRequest final {
 public:
  SentRequest() = default;
  SentRequest(std::weak_ptr<UpstreamChannel> channel, std::uint64_t serial)
      : m_channel(std::move(channel)), m_serial(serial) {}

  [[nodiscard]] const std::weak_ptr<UpstreamChannel>& Channel() const {
    return m_channel;
  }
  [[nodiscard]] std::uint64_t Serial() const { return m_serial; }

 private:
  std::weak_ptr<UpstreamChannel> m_channel;
  std::uint64_t m_serial = 0;
};

/// Number of exchanges with a replica by result.
struct ExchangeCounts {
  std::uint64_t m_answered = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_failed = 0;
};

/// Settings of a `ReplicaPool`.
struct ReplicaPoolSettings {
  /// Name of the header field in which upstreams echo the request id.
  std::string m_id_header;
  /// Name of the header field which shows that a request did not run.
  std::string m_not_run_header;
  /// True if the replica is in this instance's failure domain.
  bool m_is_home = false;
};

/// Connections of this instance to one incarnation of a replica, and the
/// latency and failures observed on them.
class ReplicaPool final : public std::enable_shared_from_this<ReplicaPool> {
 public:
  using Handler = UpstreamChannel::Handler;
  using CapacityListener = std::function<void()>;

  /// `on_capacity` is called when a connection may have become free.
  ReplicaPool(boost::asio::io_context& context,
              ReplicaRecord record,
              ReplicaPoolSettings settings,
              CapacityListener on_capacity);

  ReplicaPool(const ReplicaPool&) = delete;
  ReplicaPool& operator=(const ReplicaPool&) = delete;

  /// Sends a request; `Candidate(...).m_is_usable` must be true. With
  /// `needs_fresh`, an open connection is reused only if it was used recently.
  SentRequest Send(ChannelRequest request, bool needs_fresh, Handler handler);

  /// Gives up a request: its handler is not called, and the connection is
  /// closed if the exchange does not end soon.
  void Abandon(const SentRequest& sent, TimePoint now);

  /// The current state of the replica as input for `ChooseReplica`.
  [[nodiscard]] ReplicaCandidate Candidate(TimePoint now);

  /// Applies a newer record of the same process.
  void Update(const ReplicaRecord& record);

  /// Sets the number of connections that this instance may hold, at least 1.
  void SetConnectionShare(std::size_t connections);

  /// Excludes the replica from new requests, since it was removed or another
  /// upstream uses its address.
  void Retire() { m_is_retired = true; }

  /// Closes connections whose timeout has expired and removes closed ones.
  void CloseOverdue(TimePoint now);

  /// True if no request is in progress.
  [[nodiscard]] bool IsQuiet() const { return m_waits.empty(); }

  /// Exchanges since the pool was created.
  [[nodiscard]] const ExchangeCounts& Counts() const { return m_counts; }

  [[nodiscard]] const ReplicaRecord& Record() const { return m_record; }
  [[nodiscard]] std::size_t ChannelCount() const { return m_channels.size(); }

 private:
  struct Wait {
    std::uint64_t m_serial = 0;
    TimePoint m_since{};
    bool m_is_abandoned = false;
  };

  std::shared_ptr<UpstreamChannel> TakeChannel(bool needs_fresh, TimePoint now);
  void OnEnd(std::uint64_t serial,
             const UpstreamChannel& channel,
             ExchangeResult result,
             const Handler& handler);
  [[nodiscard]] bool MayOpen(TimePoint now) const;
  void NoteOpening(bool has_succeeded, TimePoint now);
  [[nodiscard]] ExchangeVerdict Judge(const ExchangeResult& result) const;
  void Observe(ExchangeVerdict verdict, Duration took, TimePoint now);
  Wait TakeWait(std::uint64_t serial);

  boost::asio::io_context& m_context;
  ReplicaRecord m_record;
  const ReplicaPoolSettings m_settings;
  const CapacityListener m_on_capacity;
  ReplicaObservation m_observation;
  ConcurrencyLimit m_concurrency;
  ExchangeCounts m_counts;
  TimePoint m_cold_until{};
  std::size_t m_share = 1;
  /// No connection is opened before this time, which moves later with each
  /// failure to open one.
  TimePoint m_open_after{};
  Milliseconds m_open_backoff{0};
  bool m_is_retired = false;
  std::uint64_t m_next_serial = 1;
  std::deque<Wait> m_waits;
  std::vector<std::shared_ptr<UpstreamChannel>> m_channels;
};

}  // namespace jackdawrack
