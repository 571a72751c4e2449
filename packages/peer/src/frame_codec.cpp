#include "peer/frame_codec.h"

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "peer/bounded_input_archive.h"

namespace jackdawrack {
namespace {

// True if all ranges of a frame are ranges of keys.
bool HasValidRanges(const PeerFrame& frame) {
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
    if (archive.RemainingBytes() != 0 || !HasValidRanges(frame)) {
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
