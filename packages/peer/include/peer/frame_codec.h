#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

#include "peer/messages.h"

namespace jackdawrack {

/// Greatest encoded frame; a longer one ends the connection.
inline constexpr std::size_t kMaxFrameBytes = 16 << 20;

/// Turns frames into bytes and back.
template <typename T>
concept FrameCodec = requires(const PeerFrame& frame, std::string_view bytes) {
  { T::Encode(frame) } -> std::same_as<std::string>;
  { T::Decode(bytes) } -> std::same_as<std::optional<PeerFrame>>;
};

/// Binary frames by cereal; a length that exceeds the input is refused before
/// anything is allocated.
struct BinaryCodec final {
  [[nodiscard]] static std::string Encode(const PeerFrame& frame);
  [[nodiscard]] static std::optional<PeerFrame> Decode(std::string_view bytes);
};

/// JSON frames by cereal, for measurement against the binary ones.
struct JsonCodec final {
  [[nodiscard]] static std::string Encode(const PeerFrame& frame);
  [[nodiscard]] static std::optional<PeerFrame> Decode(std::string_view bytes);
};

static_assert(FrameCodec<BinaryCodec>);
static_assert(FrameCodec<JsonCodec>);

}  // namespace jackdawrack
