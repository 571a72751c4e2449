#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

#include "peer/messages.h"

namespace jackdawrack {

/// Maximum size of an encoded frame, in bytes, without its length prefix. A
/// connection that receives a longer frame is closed.
inline constexpr std::size_t kMaxFrameBytes = 16 << 20;

/// Serializes and deserializes frames. `Decode` returns `std::nullopt` if the
/// bytes are not a valid frame.
template <typename T>
concept FrameCodec = requires(const PeerFrame& frame, std::string_view bytes) {
  { T::Encode(frame) } -> std::same_as<std::string>;
  { T::Decode(bytes) } -> std::same_as<std::optional<PeerFrame>>;
};

/// Binary codec, based on cereal. `Decode` rejects a length that exceeds the
/// input before it allocates memory.
struct BinaryCodec final {
  [[nodiscard]] static std::string Encode(const PeerFrame& frame);
  [[nodiscard]] static std::optional<PeerFrame> Decode(std::string_view bytes);
};

/// JSON codec, based on cereal. Used as a reference in benchmarks and tests of
/// the binary codec.
struct JsonCodec final {
  [[nodiscard]] static std::string Encode(const PeerFrame& frame);
  [[nodiscard]] static std::optional<PeerFrame> Decode(std::string_view bytes);
};

static_assert(FrameCodec<BinaryCodec>);
static_assert(FrameCodec<JsonCodec>);

}  // namespace jackdawrack
