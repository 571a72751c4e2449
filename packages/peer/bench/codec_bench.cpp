// Benchmark of the frame codecs with the frames of a query to 400 upstreams.
#include <fmt/format.h>

#include <chrono>

#include "peer/frame_codec.h"

namespace {

using jackdawrack::BinaryCodec;
using jackdawrack::FrameCodec;
using jackdawrack::JsonCodec;
using jackdawrack::PeerFrame;

constexpr int kRounds = 20'000;
constexpr std::uint64_t kRangesPerFrame = 17;
constexpr std::uint64_t kKeysPerRange = 10'737'418;
constexpr double kFramesPerQuery = 24;
constexpr double kQueriesPerSecond = 342;
constexpr double kUsPerSecond = 1'000'000;
constexpr double kPercent = 100;

std::vector<jackdawrack::KeyRange> MakeRanges() {
  std::vector<jackdawrack::KeyRange> ranges;
  for (std::uint64_t i = 0; i < kRangesPerFrame; ++i) {
    ranges.push_back({i * kKeysPerRange, (i + 1) * kKeysPerRange});
  }
  return ranges;
}

PeerFrame MakeSubQuery() {
  jackdawrack::SubQuery query;
  query.m_call = {{0x1234567890abcdef, 4242}, 7};
  query.m_customer = jackdawrack::Customer("alpenblick");
  query.m_collection = jackdawrack::CollectionName("portal");
  query.m_body = "free on 2026-05-01, primes, 35 mm";
  query.m_index_version = 7;
  query.m_remaining_ms = 250;
  query.m_ranges = MakeRanges();
  return query;
}

PeerFrame MakeSubAnswer() {
  jackdawrack::SubAnswer answer;
  answer.m_call = {{0x1234567890abcdef, 4242}, 7};
  answer.m_index_version = 7;
  answer.m_is_last = true;
  for (const jackdawrack::KeyRange& range : MakeRanges()) {
    answer.m_ranges.push_back({range,
                               jackdawrack::MissReason::kNone,
                               {"0-10737418@7:free on 2026-05-01, primes"},
                               {}});
  }
  return answer;
}

/// Returns the mean time of one operation, in microseconds.
template <typename Operation>
double MeanUs(const Operation& operation) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    operation();
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / kRounds;
}

/// Encoding and decoding cost of one frame.
struct FrameCost {
  double m_encode_us = 0;
  double m_decode_us = 0;
  std::size_t m_bytes = 0;
};

template <FrameCodec Codec>
FrameCost Measure(const PeerFrame& frame) {
  std::size_t checksum = 0;
  const std::string bytes = Codec::Encode(frame);
  FrameCost cost;
  cost.m_bytes = bytes.size();
  cost.m_encode_us = MeanUs([&] { checksum += Codec::Encode(frame).size(); });
  cost.m_decode_us =
      MeanUs([&] { checksum += Codec::Decode(bytes).has_value() ? 1 : 0; });
  if (checksum == 0) {
    fmt::print(stderr, "no frame was encoded or decoded\n");
  }
  return cost;
}

template <FrameCodec Codec>
void Report(const char* name) {
  const FrameCost query = Measure<Codec>(MakeSubQuery());
  const FrameCost answer = Measure<Codec>(MakeSubAnswer());

  // Each instance acts as entry and as owner, so on average it encodes and
  // decodes each type of frame once
  const double us = query.m_encode_us + query.m_decode_us + answer.m_encode_us +
                    answer.m_decode_us;
  const double core_share =
      us * kFramesPerQuery * kQueriesPerSecond / kUsPerSecond;
  fmt::print(
      "| {} | {:.2f} | {:.2f} | {} | {:.2f} | {:.2f} | {} | {:.1f} % |\n", name,
      query.m_encode_us, query.m_decode_us, query.m_bytes, answer.m_encode_us,
      answer.m_decode_us, answer.m_bytes, kPercent * core_share);
}

}  // namespace

int main() {
  fmt::print(
      "{} rounds, {} ranges per frame; CPU core usage for {:.0f} frames x "
      "{:.0f} queries/s\n\n",
      kRounds, kRangesPerFrame, kFramesPerQuery, kQueriesPerSecond);
  fmt::print(
      "| codec | SubQuery encode us | decode us | bytes | SubAnswer encode us "
      "| decode us | bytes | core usage "
      "|\n|---|---|---|---|---|---|---|---|\n");
  Report<BinaryCodec>("binary (cereal)");
  Report<JsonCodec>("JSON (cereal)");
  return 0;
}
