#include "gateway/feed_reader.h"

#include <catch2/catch.hpp>
#include <optional>

namespace jackdawrack {
namespace {

constexpr Milliseconds kWatchTime{1'000};
constexpr Milliseconds kLostWatchTime{10};

/// A store whose calls are answered by the test, one at a time.
class FakeStore final {
 public:
  using Handler = std::function<void(StoreResult<PublishedChanges>)>;

  void List(Handler handler) {
    ++m_listings;
    m_handler = std::move(handler);
  }

  void Watch(std::uint64_t revision, Milliseconds wait, Handler handler) {
    m_watched_from = revision;
    m_watched_for = wait;
    m_handler = std::move(handler);
  }

  void Answer(StoreResult<PublishedChanges> result) {
    const Handler handler = std::move(m_handler);
    m_handler = nullptr;
    handler(std::move(result));
  }

  [[nodiscard]] bool IsAsked() const { return m_handler != nullptr; }

  int m_listings = 0;
  std::optional<std::uint64_t> m_watched_from;
  Milliseconds m_watched_for{0};

 private:
  Handler m_handler;
};

ReplicaRecord MakeRecord(const std::string& id, std::uint64_t sequence) {
  ReplicaRecord record;
  record.m_id = UpstreamId(id);
  record.m_service = ServiceName("s");
  record.m_incarnation = Incarnation{1, sequence};
  return record;
}

PublishedChanges MakeChanges(std::vector<PublishedChange> changes,
                             std::uint64_t revision) {
  return PublishedChanges{std::move(changes), revision};
}

class Reading final {
 public:
  Reading()
      : m_reader(m_context,
                 m_store,
                 m_state,
                 FeedSettings{kWatchTime, kLostWatchTime, Milliseconds(1),
                              Milliseconds(1), Milliseconds(2)}) {
    m_reader.Start();
  }

  // Runs timers until the store is called again.
  void RunUntilAsked() {
    while (!m_store.IsAsked()) {
      m_context.restart();
      REQUIRE(m_context.run_one_for(Milliseconds(1'000)) == 1);
    }
  }

  void Answer(StoreResult<PublishedChanges> result) {
    RunUntilAsked();
    m_store.Answer(std::move(result));
  }

  boost::asio::io_context m_context;
  FakeStore m_store;
  PublishedState m_state;
  FeedReader<FakeStore> m_reader;
};

TEST_CASE("the store is listed once and then watched from the last revision") {
  Reading reading;
  REQUIRE(reading.m_reader.IsLost());
  reading.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  reading.RunUntilAsked();
  REQUIRE_FALSE(reading.m_reader.IsLost());
  REQUIRE(reading.m_store.m_watched_from == 10);
  reading.Answer(MakeChanges({MakeRecord("b", 1)}, 12));
  reading.RunUntilAsked();
  REQUIRE(reading.m_store.m_watched_from == 12);
  REQUIRE(reading.m_state.Directory().Size() == 2);
}

TEST_CASE(
    "failed calls are retried, and removals after an outage are delayed") {
  Reading reading;
  reading.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  reading.Answer(MakeError(StoreErrc::kUnreachable, "reset"));
  REQUIRE(reading.m_reader.IsLost());
  reading.Answer(MakeError(StoreErrc::kRefused, "status 503"));
  reading.Answer(MakeChanges({ReplicaRemoval{UpstreamId("a")}}, 13));
  REQUIRE_FALSE(reading.m_reader.IsLost());
  REQUIRE(reading.m_state.Directory().Size() == 1);
  reading.m_state.DropLapsed(BootClock().Now() + ReplicaDirectory::kLapseGrace);
  REQUIRE(reading.m_state.Directory().Size() == 0);
}

TEST_CASE("watch calls are short while the store is unreachable") {
  Reading reading;
  reading.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  reading.RunUntilAsked();
  REQUIRE(reading.m_store.m_watched_for == kWatchTime);
  reading.Answer(MakeError(StoreErrc::kUnreachable, "timed out"));
  reading.RunUntilAsked();
  REQUIRE(reading.m_store.m_watched_for == kLostWatchTime);

  // After a response, watch calls have the full duration again
  reading.Answer(MakeChanges({}, 10));
  REQUIRE_FALSE(reading.m_reader.IsLost());
  reading.RunUntilAsked();
  REQUIRE(reading.m_store.m_watched_for == kWatchTime);
}

TEST_CASE("the store is listed again if its history is gone") {
  Reading reading;
  reading.Answer(MakeChanges({MakeRecord("a", 1), RoutingConfig{}}, 10));
  reading.Answer(MakeError(StoreErrc::kHistoryGone, "status 410"));
  reading.Answer(MakeChanges({MakeRecord("b", 1)}, 40));
  reading.RunUntilAsked();
  REQUIRE(reading.m_store.m_listings == 2);
  REQUIRE(reading.m_store.m_watched_from == 40);
  REQUIRE(reading.m_state.Directory().Records().front().m_id ==
          UpstreamId("b"));
}

TEST_CASE(
    "a peer snapshot replaces a listing and is not overwritten by older data") {
  Reading reading;
  reading.m_reader.TakeSnapshot({MakeRecord("a", 5), RoutingConfig{}}, 50);
  REQUIRE(reading.m_reader.Revision() == 50);

  // A response of the store that is older than the snapshot is ignored
  reading.Answer(MakeChanges({MakeRecord("z", 1)}, 45));
  reading.RunUntilAsked();
  REQUIRE(reading.m_state.Directory().Size() == 1);
  REQUIRE(reading.m_store.m_watched_from == 50);

  // An older snapshot is ignored
  reading.m_reader.TakeSnapshot({MakeRecord("z", 9)}, 49);
  REQUIRE(reading.m_state.Directory().Records().front().m_id ==
          UpstreamId("a"));
}

TEST_CASE("replicas that a peer snapshot marks as missing are dropped") {
  Reading reading;
  reading.m_reader.TakeSnapshot(
      {MakeRecord("gone", 5), MakeRecord("here", 5), RoutingConfig{},
       ReplicaLapse{UpstreamId("gone")}},
      50);
  REQUIRE(reading.m_state.Directory().Size() == 2);
  reading.m_state.DropLapsed(BootClock().Now() + ReplicaDirectory::kLapseGrace);
  REQUIRE(reading.m_state.Directory().Size() == 1);
  REQUIRE(reading.m_state.Directory().Records().front().m_id ==
          UpstreamId("here"));
}

}  // namespace
}  // namespace jackdawrack
