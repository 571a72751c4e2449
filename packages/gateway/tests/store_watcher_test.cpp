#include "gateway/store_watcher.h"

#include <catch2/catch.hpp>
#include <optional>

namespace jackdawrack {
namespace {

constexpr Milliseconds kWatchTimeout{1'000};
constexpr Milliseconds kOutageWatchTimeout{10};

/// A store whose calls are answered by the test, one at a time.
class FakeStore final {
 public:
  using Handler = std::function<void(StoreResult<PublishedChanges>)>;

  void List(Handler handler) {
    ++m_listing_count;
    m_handler = std::move(handler);
  }

  void Watch(std::uint64_t revision, Milliseconds wait, Handler handler) {
    if (m_failing_calls > 0) {
      --m_failing_calls;
      throw std::runtime_error("call");
    }
    m_watched_from = revision;
    m_watch_timeout = wait;
    m_handler = std::move(handler);
  }

  void Answer(StoreResult<PublishedChanges> result) {
    const Handler handler = std::move(m_handler);
    m_handler = nullptr;
    handler(std::move(result));
  }

  [[nodiscard]] bool HasPendingCall() const { return m_handler != nullptr; }

  int m_listing_count = 0;
  /// Watch calls that throw.
  int m_failing_calls = 0;
  std::optional<std::uint64_t> m_watched_from;
  Milliseconds m_watch_timeout{0};

 private:
  Handler m_handler;
};

ReplicaRecord MakeRecord(const std::string& id, std::uint64_t sequence) {
  ReplicaRecord record;
  record.m_endpoint = Endpoint{"10.0.0.9", 8080};
  record.m_id = UpstreamId(id);
  record.m_service = ServiceName("s");
  record.m_incarnation = Incarnation{1, sequence};
  return record;
}

PublishedChanges MakeChanges(std::vector<PublishedChange> changes,
                             std::uint64_t revision) {
  return PublishedChanges{std::move(changes), revision};
}

class WatcherFixture final {
 public:
  WatcherFixture()
      : m_watcher(m_context,
                  m_store,
                  m_state,
                  StoreWatcherSettings{kWatchTimeout, kOutageWatchTimeout,
                                       Milliseconds(1), Milliseconds(1),
                                       Milliseconds(2)}) {
    m_watcher.Start();
  }

  // Runs timers until the store is called again.
  void RunUntilNextCall() {
    while (!m_store.HasPendingCall()) {
      m_context.restart();
      REQUIRE(m_context.run_one_for(Milliseconds(1'000)) == 1);
    }
  }

  void Answer(StoreResult<PublishedChanges> result) {
    RunUntilNextCall();
    m_store.Answer(std::move(result));
  }

  boost::asio::io_context m_context;
  FakeStore m_store;
  PublishedState m_state;
  StoreWatcher<FakeStore> m_watcher;
};

TEST_CASE("the store is listed once and then watched from the last revision") {
  WatcherFixture fixture;
  REQUIRE(fixture.m_watcher.IsStoreLost());
  fixture.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  fixture.RunUntilNextCall();
  REQUIRE_FALSE(fixture.m_watcher.IsStoreLost());
  REQUIRE(fixture.m_store.m_watched_from == 10);
  fixture.Answer(MakeChanges({MakeRecord("b", 1)}, 12));
  fixture.RunUntilNextCall();
  REQUIRE(fixture.m_store.m_watched_from == 12);
  REQUIRE(fixture.m_state.Directory().Size() == 2);
}

TEST_CASE(
    "failed calls are retried, and removals after an outage are delayed") {
  WatcherFixture fixture;
  fixture.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  fixture.Answer(MakeError(StoreErrc::kUnreachable, "reset"));
  REQUIRE(fixture.m_watcher.IsStoreLost());
  fixture.Answer(MakeError(StoreErrc::kRefused, "status 503"));
  fixture.Answer(MakeChanges({ReplicaRemoval{UpstreamId("a")}}, 13));
  REQUIRE_FALSE(fixture.m_watcher.IsStoreLost());
  REQUIRE(fixture.m_state.Directory().Size() == 1);
  fixture.m_state.DropExpired(BootClock().Now() +
                              ReplicaDirectory::kMissingGracePeriod);
  REQUIRE(fixture.m_state.Directory().Size() == 0);
}

TEST_CASE("watch calls are short while the store is unreachable") {
  WatcherFixture fixture;
  fixture.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  fixture.RunUntilNextCall();
  REQUIRE(fixture.m_store.m_watch_timeout == kWatchTimeout);
  fixture.Answer(MakeError(StoreErrc::kUnreachable, "timed out"));
  fixture.RunUntilNextCall();
  REQUIRE(fixture.m_store.m_watch_timeout == kOutageWatchTimeout);

  // After a response, watch calls have the full duration again
  fixture.Answer(MakeChanges({}, 10));
  REQUIRE_FALSE(fixture.m_watcher.IsStoreLost());
  fixture.RunUntilNextCall();
  REQUIRE(fixture.m_store.m_watch_timeout == kWatchTimeout);
}

TEST_CASE("the store is listed again if its history is gone") {
  WatcherFixture fixture;
  fixture.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  fixture.Answer(MakeError(StoreErrc::kHistoryGone, "status 410"));
  fixture.Answer(MakeChanges({MakeRecord("b", 1)}, 40));
  fixture.RunUntilNextCall();
  REQUIRE(fixture.m_store.m_listing_count == 2);
  REQUIRE(fixture.m_store.m_watched_from == 40);
  REQUIRE(fixture.m_state.Directory().Records().front().m_id ==
          UpstreamId("b"));
}

// Such a reply was asked for again and again until the store had dropped the
// history.
TEST_CASE("the store is listed if its changes do not fit one reply") {
  WatcherFixture fixture;
  fixture.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  fixture.Answer(MakeError(StoreErrc::kReplyTooLarge, "body limit"));
  REQUIRE_FALSE(fixture.m_watcher.IsStoreLost());
  REQUIRE(fixture.m_watcher.Revision() == 10);
  fixture.Answer(MakeChanges({MakeRecord("b", 1)}, 40));
  fixture.RunUntilNextCall();
  REQUIRE(fixture.m_store.m_listing_count == 2);
  REQUIRE(fixture.m_store.m_watched_from == 40);
  REQUIRE(fixture.m_state.Directory().Records().front().m_id ==
          UpstreamId("b"));
}

// An exception while changes were applied ended the watch for good.
TEST_CASE("a listener that throws does not end the watch") {
  WatcherFixture fixture;
  int calls = 0;
  fixture.m_watcher.OnApplied([&calls](const AppliedChanges&) {
    if (++calls == 2) {
      throw std::runtime_error("listener");
    }
  });
  fixture.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  fixture.Answer(MakeChanges({MakeRecord("b", 1)}, 12));
  fixture.Answer(MakeChanges({MakeRecord("b", 1), MakeRecord("c", 1)}, 14));
  fixture.RunUntilNextCall();
  REQUIRE(calls == 3);
  REQUIRE(fixture.m_store.m_listing_count == 2);
  REQUIRE(fixture.m_store.m_watched_from == 14);
  REQUIRE_FALSE(fixture.m_watcher.IsStoreLost());
}

TEST_CASE("a listing that fails in any way is retried after a delay") {
  for (const StoreErrc code :
       {StoreErrc::kReplyTooLarge, StoreErrc::kHistoryGone}) {
    WatcherFixture fixture;
    fixture.Answer(MakeError(code, "listing"));
    REQUIRE(fixture.m_watcher.IsStoreLost());
    fixture.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
    REQUIRE_FALSE(fixture.m_watcher.IsStoreLost());
  }
}

TEST_CASE(
    "a peer snapshot replaces a listing and is not overwritten by older data") {
  WatcherFixture fixture;
  fixture.m_watcher.ApplySnapshot({MakeRecord("a", 5), RoutingConfig{}}, 50);
  REQUIRE(fixture.m_watcher.Revision() == 50);

  // A response of the store that is older than the snapshot is ignored
  fixture.Answer(MakeChanges({MakeRecord("z", 1)}, 45));
  fixture.RunUntilNextCall();
  REQUIRE(fixture.m_state.Directory().Size() == 1);
  REQUIRE(fixture.m_store.m_watched_from == 50);

  // An older snapshot is ignored
  fixture.m_watcher.ApplySnapshot({MakeRecord("z", 9)}, 49);
  REQUIRE(fixture.m_state.Directory().Records().front().m_id ==
          UpstreamId("a"));
}

TEST_CASE("replicas that a peer snapshot marks as missing are dropped") {
  WatcherFixture fixture;
  fixture.m_watcher.ApplySnapshot(
      {MakeRecord("gone", 5), MakeRecord("here", 5), RoutingConfig{},
       MissingReplica{UpstreamId("gone")}},
      50);
  REQUIRE(fixture.m_state.Directory().Size() == 2);
  fixture.m_state.DropExpired(BootClock().Now() +
                              ReplicaDirectory::kMissingGracePeriod);
  REQUIRE(fixture.m_state.Directory().Size() == 1);
  REQUIRE(fixture.m_state.Directory().Records().front().m_id ==
          UpstreamId("here"));
}

// The revision was taken although changes were missing, which no later change
// brought.
TEST_CASE("what a peer has read and cannot be applied is asked for again") {
  WatcherFixture fixture;
  fixture.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  bool throws = true;
  fixture.m_state.OnChange([&throws] {
    if (throws) {
      throw std::runtime_error("listener");
    }
  });
  const PublishedChanges changes = MakeChanges({MakeRecord("b", 1)}, 12);
  const std::vector<PublishedChange> snapshot{MakeRecord("c", 1)};
  fixture.m_watcher.ApplyChanges(changes);
  REQUIRE(fixture.m_watcher.Revision() == 10);
  fixture.m_watcher.ApplySnapshot(snapshot, 14);
  REQUIRE(fixture.m_watcher.Revision() == 10);
  throws = false;
  fixture.m_watcher.ApplyChanges(changes);
  REQUIRE(fixture.m_watcher.Revision() == 12);
  fixture.m_watcher.ApplySnapshot(snapshot, 14);
  REQUIRE(fixture.m_watcher.Revision() == 14);
}

// The store was not called any more.
TEST_CASE("a store call that cannot be sent is made again") {
  WatcherFixture fixture;
  fixture.m_store.m_failing_calls = 2;
  fixture.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  fixture.RunUntilNextCall();
  REQUIRE(fixture.m_store.m_failing_calls == 0);
  REQUIRE(fixture.m_store.m_watched_from == 10);
}

}  // namespace
}  // namespace jackdawrack
