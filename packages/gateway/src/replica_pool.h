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

/// A request on its way to one replica; lets its sender give it up.
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

/// Exchanges with a replica by how they ended.
struct ExchangeCounts {
  std::uint64_t m_answered = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_failed = 0;
};

/// What a pool takes from outside.
struct ReplicaPoolSettings {
  /// Field in which upstreams echo the request id.
  std::string m_id_header;
  /// Field that says that a request did not run.
  std::string m_not_run_header;
  bool m_is_home = false;
};

/// This instance's connections to one incarnation of a replica, and what it has
/// seen of it.
class ReplicaPool final : public std::enable_shared_from_this<ReplicaPool> {
 public:
  using Handler = UpstreamChannel::Handler;
  using CapacityListener = std::function<void()>;

  ReplicaPool(boost::asio::io_context& context,
              ReplicaRecord record,
              ReplicaPoolSettings settings,
              CapacityListener on_capacity);

  ReplicaPool(const ReplicaPool&) = delete;
  ReplicaPool& operator=(const ReplicaPool&) = delete;

  /// Sends a request; `Candidate(...).m_is_usable` has to hold. With
  /// `needs_fresh`, only a connection that was used a moment ago is reused.
  SentRequest Send(ChannelRequest request, bool needs_fresh, Handler handler);

  /// Nobody waits for the answer any more.
  void Abandon(const SentRequest& sent, TimePoint now);

  /// What the choice among replicas needs to know.
  [[nodiscard]] ReplicaCandidate Candidate(TimePoint now);

  /// Takes a newer record of the same incarnation.
  void Update(const ReplicaRecord& record);

  /// Connections that this instance may hold.
  void SetConnectionShare(std::size_t connections);

  /// Takes no new work: it was removed, or another upstream has its address.
  void Retire() { m_is_retired = true; }

  /// Closes channels whose time is over and drops closed ones.
  void CloseOverdue(TimePoint now);

  /// No request is under way.
  [[nodiscard]] bool IsQuiet() const { return m_waits.empty(); }

  /// Exchanges since the pool was made.
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
  [[nodiscard]] ExchangeOutcome Judge(const ExchangeResult& result) const;
  void Observe(ExchangeOutcome verdict, Duration took, TimePoint now);
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
  /// No connection is opened before; grows while openings fail.
  TimePoint m_open_after{};
  Milliseconds m_open_backoff{0};
  bool m_is_retired = false;
  std::uint64_t m_next_serial = 1;
  std::deque<Wait> m_waits;
  std::vector<std::shared_ptr<UpstreamChannel>> m_channels;
};

}  // namespace jackdawrack
