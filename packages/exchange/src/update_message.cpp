#include "exchange/update_message.h"

#include "message_serialization.h"

namespace jackdawrack {
namespace {

/// Format version; incremented with each change to the encoding.
constexpr std::uint32_t kFormatVersion = 1;

}  // namespace

template <typename Archive>
void serialize(Archive& archive, UpdateRequest& value) {
  archive(value.m_serial, value.m_sender, value.m_revision);
  SerializeDuration(archive, value.m_wait);
}

template <typename Archive>
void serialize(Archive& archive, UpdateReply& value) {
  archive(value.m_serial, value.m_revision);
  SerializeDuration(archive, value.m_view_age);
  archive(value.m_readers, value.m_snapshot, value.m_changes);
}

std::string EncodeUpdateRequest(const UpdateRequest& request) {
  return EncodeMessage(kFormatVersion, request);
}

std::string EncodeUpdateReply(const UpdateReply& reply) {
  return EncodeMessage(kFormatVersion, reply);
}

std::optional<UpdateRequest> DecodeUpdateRequest(std::string_view bytes) {
  return DecodeMessage<UpdateRequest>(kFormatVersion, bytes);
}

std::optional<UpdateReply> DecodeUpdateReply(std::string_view bytes) {
  return DecodeMessage<UpdateReply>(kFormatVersion, bytes);
}

}  // namespace jackdawrack
