#include "exchange/peer_message.h"

#include "message_serialization.h"

namespace jackdawrack {
namespace {

/// Format version; incremented with each change to the encoding.
constexpr std::uint32_t kFormatVersion = 2;

}  // namespace

template <typename Archive>
void serialize(Archive& archive, PeerMessage& value) {
  archive(value.m_peers, value.m_revision, value.m_wants_snapshot,
          value.m_snapshot);
}

std::string EncodePeerMessage(const PeerMessage& message) {
  return EncodeMessage(kFormatVersion, message);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  return DecodeMessage<PeerMessage>(kFormatVersion, bytes);
}

}  // namespace jackdawrack
