#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "exchange/change_log.h"
#include "exchange/newest_snapshot.h"
#include "exchange/update_follower.h"
#include "exchange/update_relay.h"
#include "exchange/update_source_policy.h"
#include "gateway/store_watcher.h"
#include "platform/store_client.h"

namespace jackdawrack {

/// Settings of `PublishedUpdates`.
struct PublishedUpdatesSettings {
  InstanceId m_self;
  /// Timing of the calls to the store of an instance that serves no followers.
  StoreWatcherSettings m_alone;
  /// The same of a store reader, whose followers need to know soon that it has
  /// lost the store.
  StoreWatcherSettings m_reader;
  /// The same of a follower, which calls the store only if the readers fail.
  StoreWatcherSettings m_follower;
  /// Time that a poll of a reader waits for a change.
  Milliseconds m_poll_wait{500};
  UpdateSourceSettings m_sources;
};

/// What `PublishedUpdates` needs to know of the fleet.
struct PublishedUpdatesPeers {
  /// The live instances of the failure domain, including this one.
  std::function<std::vector<PeerEntry>()> m_local_instances;
  /// True if the known instances are complete.
  std::function<bool()> m_has_discovered_peers;
  /// Takes entries of peers from a reply.
  std::function<void(const std::vector<PeerEntry>&)> m_merge_entries;
};

/// Keeps a `PublishedState` up to date from the store or from the store readers
/// of the failure domain, and passes changes on to followers.
class PublishedUpdates final {
 public:
  /// All references outlive the object.
  PublishedUpdates(boost::asio::io_context& context,
                   platform::StoreClient& store,
                   PublishedState& state,
                   PublishedUpdatesSettings settings,
                   PublishedUpdatesPeers peers);

  PublishedUpdates(const PublishedUpdates&) = delete;
  PublishedUpdates& operator=(const PublishedUpdates&) = delete;

  /// Begins to choose sources and to read from them.
  void Start();

  /// Answers waiting followers, which then turn to another reader.
  void Stop() { m_relay.Stop(); }

  /// Takes note of the instances of the failure domain and of the revision that
  /// a peer knows.
  void OnExchange(std::uint64_t peer_revision);

  /// Answers the poll of a follower.
  void HandlePoll(const HttpRequest& request,
                  const HttpServer::ReplyCallback& reply) {
    m_relay.HandlePoll(request, reply);
  }

  /// The complete published state, or nothing if there is none.
  [[nodiscard]] std::optional<PublishedSnapshot> MakeSnapshot() const;

  /// Takes note of the snapshot of a peer, which may be old: it is applied if
  /// it is newer than what is known, and at the start only after those of
  /// several peers were compared.
  void OfferSnapshot(const PublishedSnapshot& snapshot);

  /// Revision up to which the published state is complete; 0 if unknown.
  [[nodiscard]] std::uint64_t Revision() const {
    return m_store_watcher.Revision();
  }

  /// True while neither the store nor a reader confirms the published state.
  [[nodiscard]] bool IsStoreLost() const;

  /// Time up to which the store has confirmed the published state.
  [[nodiscard]] TimePoint ConfirmedAt() const { return m_policy.ConfirmedAt(); }

  [[nodiscard]] StoreRole Role() const { return m_policy.Role(); }

  /// Number of polls of followers that wait for a change.
  [[nodiscard]] std::size_t WaitingFollowers() const {
    return m_relay.WaitingPolls();
  }

 private:
  UpdateRelaySources MakeRelaySources();
  void ApplySnapshot(const PublishedSnapshot& snapshot);
  void OnApplied(const AppliedChanges& applied);
  [[nodiscard]] PublishedChanges MakeRelayed(
      const PublishedChanges& changes) const;
  void ChooseSources();
  void ReadStore(bool reads_store);
  void PollReader(const PeerEntry& reader, TimePoint now);
  void OnReply(const InstanceId& reader,
               const std::optional<UpdateReply>& reply);
  void ScheduleStep();

  PublishedState& m_state;
  const PublishedUpdatesSettings m_settings;
  const PublishedUpdatesPeers m_peers;
  StoreWatcher<platform::StoreClient> m_store_watcher;
  UpdateSourcePolicy m_policy;
  ChangeLog m_log;
  UpdateRelay m_relay;
  UpdateFollower m_follower;
  NewestSnapshot m_startup_snapshot;
  boost::asio::steady_timer m_step_timer;
  bool m_reads_store = false;
  TimePoint m_next_poll_at{};
};

}  // namespace jackdawrack
