#include "peer/frame_codec.h"

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cmath>
#include <sstream>

#include "peer/bounded_input_archive.h"

namespace jackdawrack {
namespace {

bool AreFractions(const std::vector<ContractShare>& shares) {
  return std::all_of(shares.begin(), shares.end(), [](const auto& share) {
    return std::isfinite(share.m_fraction) && share.m_fraction >= 0;
  });
}

// True if keys, ranges and shares of a frame are within what is calculated
// with.
bool HasValidValues(const PeerFrame& frame) {
  if (const auto* run = std::get_if<RunRequest>(&frame)) {
    return run->m_shard_key < kKeySpaceEnd;
  }
  if (const auto* request = std::get_if<ShareRequest>(&frame)) {
    return AreFractions(request->m_shares);
  }
  if (const auto* reply = std::get_if<ShareReply>(&frame)) {
    return AreFractions(reply->m_grants.m_grants);
  }
  if (const auto* query = std::get_if<SubQuery>(&frame)) {
    return std::all_of(query->m_ranges.begin(), query->m_ranges.end(),
                       [](const KeyRange& range) { return range.IsValid(); });
  }
  if (const auto* answer = std::get_if<SubAnswer>(&frame)) {
    return std::all_of(
        answer->m_ranges.begin(), answer->m_ranges.end(),
        [](const RangeAnswer& range) { return range.m_range.IsValid(); });
  }
  return true;
}

}  // namespace

std::string BinaryCodec::Encode(const PeerFrame& frame) {
  std::ostringstream stream;
  cereal::BinaryOutputArchive archive(stream);
  archive(frame);
  return std::move(stream).str();
}

std::optional<PeerFrame> BinaryCodec::Decode(std::string_view bytes) {
  PeerFrame frame;
  try {
    BoundedInputArchive archive(bytes);
    archive(frame);
    if (archive.RemainingBytes() != 0 || !HasValidValues(frame)) {
      return std::nullopt;
    }
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
  return frame;
}

std::string JsonCodec::Encode(const PeerFrame& frame) {
  std::ostringstream stream;
  {
    cereal::JSONOutputArchive archive(
        stream, cereal::JSONOutputArchive::Options::NoIndent());
    archive(frame);
  }
  return std::move(stream).str();
}

std::optional<PeerFrame> JsonCodec::Decode(std::string_view bytes) {
  PeerFrame frame;
  try {
    std::istringstream stream{std::string(bytes)};
    cereal::JSONInputArchive archive(stream);
    archive(frame);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return frame;
}

}  // namespace jackdawrack
