#include "exchange/peer_message.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace jackdawrack {
namespace {

constexpr std::uint32_t kRandomSeed = 20261204;

PeerMessage MakeMessage() {
  PeerMessage message;
  PeerEntry entry;
  entry.m_id = InstanceId("a");
  entry.m_endpoint = Endpoint{"10.0.0.1", 7};
  message.m_peers = {entry};
  message.m_revision = 17;
  PublishedSnapshot snapshot;
  snapshot.m_revision = 19;
  snapshot.m_config.m_version = 4;
  Route route;
  route.m_name = "r";
  route.m_timeout = Milliseconds(1'500);
  route.m_services = {WeightedService{ServiceName("s"), 2.5}};
  route.m_gather.m_shards = {ServiceName("s1"), ServiceName("s2")};
  snapshot.m_config.m_routes = {route};
  ReplicaRecord replica;
  replica.m_id = UpstreamId("u");
  replica.m_cold_time = Milliseconds(30);
  snapshot.m_replicas = {replica};
  snapshot.m_missing_replicas = {replica.m_id};
  message.m_snapshot = snapshot;
  return message;
}

TEST_CASE("a message is unchanged after encoding and decoding") {
  const PeerMessage message = MakeMessage();
  REQUIRE(DecodePeerMessage(EncodePeerMessage(message)) == message);
}

TEST_CASE(
    "truncated messages are rejected and corrupted ones are decoded safely") {
  const std::string bytes = EncodePeerMessage(MakeMessage());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    REQUIRE_FALSE(DecodePeerMessage(bytes.substr(0, length)).has_value());
  }
  std::mt19937 random(kRandomSeed);
  for (int iteration = 0; iteration < 5'000; ++iteration) {
    std::string corrupted = bytes;
    corrupted[random() % corrupted.size()] = static_cast<char>(random());
    static_cast<void>(DecodePeerMessage(corrupted));
  }
}

// The byte was copied into a `bool`, which cannot hold it.
TEST_CASE("a message with a truth value that is neither 0 nor 1 is rejected") {
  PeerMessage message = MakeMessage();
  message.m_wants_snapshot = false;
  const std::string without = EncodePeerMessage(message);
  message.m_wants_snapshot = true;
  const std::string with = EncodePeerMessage(message);
  const auto [byte, other] =
      std::mismatch(with.begin(), with.end(), without.begin());
  REQUIRE(byte != with.end());
  std::string corrupted = with;
  corrupted[static_cast<std::size_t>(byte - with.begin())] = 114;
  REQUIRE(DecodePeerMessage(with).has_value());
  REQUIRE_FALSE(DecodePeerMessage(corrupted).has_value());
}

// A duration from another process is added to times of this one.
TEST_CASE("durations of a decoded message can be calculated with") {
  for (const Milliseconds odd :
       {Milliseconds::max(), Milliseconds::min(), Milliseconds(-1)}) {
    PeerMessage message = MakeMessage();
    message.m_snapshot->m_replicas[0].m_cold_time = odd;
    message.m_snapshot->m_config.m_routes[0].m_timeout = odd;
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    REQUIRE(decoded);
    const Milliseconds cold = decoded->m_snapshot->m_replicas[0].m_cold_time;
    REQUIRE(cold >= Milliseconds(0));
    REQUIRE(cold <= kMaxReceivedDuration);
    REQUIRE(decoded->m_snapshot->m_config.m_routes[0].m_timeout == cold);
  }
}

}  // namespace
}  // namespace jackdawrack
