#include "peer/frame_codec.h"

#include <catch2/catch.hpp>
#include <random>

namespace jackdawrack {
namespace {

constexpr std::uint32_t kFuzzSeed = 20260101;
constexpr int kFuzzRounds = 20'000;

PeerFrame SampleFrame() {
  SubQuery query;
  query.m_call = CallId{RequestId{1, 2}, 3};
  query.m_customer = Customer("alpenblick");
  query.m_collection = CollectionName("portal");
  query.m_body = "nonce";
  query.m_index_version = 7;
  query.m_remaining_ms = 250;
  query.m_ranges = {KeyRange{0, 10}, KeyRange{20, 30}};
  return query;
}

TEMPLATE_TEST_CASE("decoding an encoded frame restores it",
                   "",
                   BinaryCodec,
                   JsonCodec) {
  const std::string bytes = TestType::Encode(SampleFrame());
  const auto decoded = TestType::Decode(bytes);
  REQUIRE(decoded.has_value());
  REQUIRE(*decoded == SampleFrame());
}

TEST_CASE("decoding a malformed frame does not crash") {
  INFO("seed " << kFuzzSeed);
  std::mt19937 random(kFuzzSeed);
  const std::string good = BinaryCodec::Encode(SampleFrame());
  for (int round = 0; round < kFuzzRounds; ++round) {
    std::string bytes = good.substr(0, 1 + random() % good.size());
    for (std::uint32_t flips = random() % 4; flips > 0; --flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    (void)BinaryCodec::Decode(bytes);
  }
  REQUIRE(BinaryCodec::Decode(good).has_value());
}

}  // namespace
}  // namespace jackdawrack
