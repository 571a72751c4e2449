#include "peer/frame_codec.h"

#include <cereal/archives/binary.hpp>
#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "peer/bounded_input_archive.h"

namespace jackdawrack {

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
    if (archive.RemainingBytes() != 0) {
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
