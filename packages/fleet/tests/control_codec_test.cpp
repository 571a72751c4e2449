#include <catch2/catch.hpp>
#include <random>

#include "fleet/control_codec.h"
#include "fleet/control_server.h"

namespace jackdawrack {
namespace {

constexpr unsigned kSeed = 20261206;
constexpr int kMutations = 2000;

ControlMessage FullMessage() {
  ControlMessage message;
  message.m_kind = ControlKind::kCompare;
  message.m_sender = {InstanceId("east-1"), MemberState::kLeaving, 7};
  message.m_root_hash = ~std::uint64_t{0};
  message.m_has_config_age = true;
  message.m_config_age_ms = 1234;
  message.m_member_statuses = {
      {InstanceId("west-1"), MemberState::kSuspect, 3}};
  message.m_tree_root = InstanceId("south-1");
  message.m_values = {{"contracts/a", 5, "text = \"x\"\nälter\n", 2}};
  message.m_bucket_hashes.assign(kDigestBuckets, 0xffffffff);
  message.m_compared_buckets = {1, 255};
  message.m_digests = {{"map/a", {9, ~std::uint64_t{0} - 1}}};
  message.m_requested_names = {"contracts/b"};
  message.m_has_more = true;
  message.m_probe_target = InstanceId("west-2");
  return message;
}

TEST_CASE("control messages round-trip through request and reply") {
  ControlServer server;
  const ControlMessage sent = FullMessage();
  ControlMessage received;
  const std::string reply = server.Handle(EncodeControlRequest(sent),
                                          [&](const ControlMessage& message) {
                                            received = message;
                                            return message;
                                          });
  REQUIRE(received == sent);
  REQUIRE(DecodeControlReply(reply) == sent);
}

TEST_CASE(
    "malformed control requests are refused without calling the handler") {
  ControlServer server;
  const auto never = [](const ControlMessage&) -> ControlMessage {
    FAIL("a malformed message reached the handler");
    return {};
  };
  for (const std::string request :
       {"", "[]", "{}", "not json",
        R"({"jsonrpc":"2.0","id":1,"method":"other","params":{}})",
        R"({"jsonrpc":"2.0","id":1,"method":"exchange","params":{}})",
        R"({"jsonrpc":"2.0","id":1,"method":"exchange",)"
        R"("params":{"message":{"kind":99,"sender":{}}}})",
        R"({"jsonrpc":"2.0","id":1,"method":"exchange",)"
        R"("params":{"message":{"kind":-1,"sender":{"id":5}}}})",
        R"({"jsonrpc":"2.0","id":1,"method":"exchange",)"
        R"("params":{"message":{"sender":{},"values":{"a":1}}}})"}) {
    INFO(request);
    REQUIRE_FALSE(DecodeControlReply(server.Handle(request, never)));
  }
}

TEST_CASE("control messages nested too deeply are refused") {
  ControlServer server;
  const std::string nested(100'000, '[');
  const auto echo = [](const ControlMessage& message) { return message; };
  REQUIRE_FALSE(DecodeControlReply(nested));
  REQUIRE_FALSE(DecodeControlReply(server.Handle(nested, echo)));
}

TEST_CASE("randomly mutated control messages never crash the codec") {
  std::mt19937 random(kSeed);
  CAPTURE(kSeed);
  ControlServer server;
  const std::string request = EncodeControlRequest(FullMessage());
  const auto echo = [](const ControlMessage& message) { return message; };
  const std::string reply = server.Handle(request, echo);
  for (int i = 0; i < kMutations; ++i) {
    std::string mutated = i % 2 == 0 ? request : reply;
    for (int change = 0; change < 3; ++change) {
      mutated[random() % mutated.size()] = static_cast<char>(random());
    }
    (void)server.Handle(mutated, echo);
    (void)DecodeControlReply(mutated);
  }
}

}  // namespace
}  // namespace jackdawrack
