#pragma once

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include "exchange/peer_message.h"
#include "peer/bounded_input_archive.h"
#include "routing/published_change.h"

/// Serialization of the published state, shared by the messages between
/// instances.

namespace jackdawrack {

// Serializes a duration as a 64-bit number of milliseconds. A received duration
// is limited to what this process can calculate with.
template <typename Archive>
void SerializeDuration(Archive& archive, Milliseconds& duration) {
  std::int64_t count = duration.count();
  archive(count);
  if constexpr (Archive::is_loading::value) {
    duration =
        std::clamp(Milliseconds(count), Milliseconds(0), kMaxReceivedDuration);
  }
}

template <typename Archive>
void serialize(Archive& archive, WeightedService& value) {
  archive(value.m_service, value.m_weight);
}

template <typename Archive>
void serialize(Archive& archive, GatherRule& value) {
  archive(value.m_shards, value.m_max_records, value.m_min_coverage);
}

template <typename Archive>
void serialize(Archive& archive, Route& value) {
  archive(value.m_name, value.m_host, value.m_prefix, value.m_repeatability);
  SerializeDuration(archive, value.m_timeout);
  SerializeDuration(archive, value.m_target_latency);
  archive(value.m_priority, value.m_max_attempts, value.m_services,
          value.m_gather);
}

template <typename Archive>
void serialize(Archive& archive, ServiceLimits& value) {
  archive(value.m_name, value.m_connection_limit);
}

template <typename Archive>
void serialize(Archive& archive, CallerLimits& value) {
  archive(value.m_max_header_bytes, value.m_max_body_bytes);
  SerializeDuration(archive, value.m_header_timeout);
  SerializeDuration(archive, value.m_idle_timeout);
}

template <typename Archive>
void serialize(Archive& archive, RoutingConfig& value) {
  archive(value.m_version, value.m_routes, value.m_services, value.m_limits);
}

template <typename Archive>
void serialize(Archive& archive, Incarnation& value) {
  archive(value.m_started_ms, value.m_sequence);
}

template <typename Archive>
void serialize(Archive& archive, ReplicaRecord& value) {
  archive(value.m_id, value.m_service, value.m_endpoint, value.m_domain,
          value.m_incarnation, value.m_slots, value.m_draining);
  SerializeDuration(archive, value.m_cold_time);
}

template <typename Archive>
void serialize(Archive& archive, PeerEntry& value) {
  archive(value.m_id, value.m_domain, value.m_endpoint, value.m_epoch,
          value.m_heartbeat, value.m_is_leaving);
}

template <typename Archive>
void serialize(Archive& archive, PublishedSnapshot& value) {
  archive(value.m_revision, value.m_config, value.m_replicas,
          value.m_missing_replicas);
}

template <typename Archive>
void serialize(Archive& archive, ReplicaRemoval& value) {
  archive(value.m_id);
}

template <typename Archive>
void serialize(Archive& archive, MissingReplica& value) {
  archive(value.m_id);
}

template <typename Archive>
void serialize(Archive& archive, UnreadableValue& value) {
  archive(value.m_key, value.m_reason);
}

/// Encodes a message behind its format version.
template <typename Message>
[[nodiscard]] std::string EncodeMessage(std::uint32_t format_version,
                                        const Message& message) {
  std::ostringstream stream;
  cereal::BinaryOutputArchive archive(stream);
  archive(format_version, message);
  return std::move(stream).str();
}

/// Decodes a message; returns nothing if `bytes` are malformed, too long or of
/// another format version.
template <typename Message>
[[nodiscard]] std::optional<Message> DecodeMessage(std::uint32_t format_version,
                                                   std::string_view bytes) {
  Message message;
  std::uint32_t received_version = 0;
  try {
    BoundedInputArchive archive(bytes);
    archive(received_version);
    if (received_version != format_version) {
      return std::nullopt;
    }
    archive(message);
    if (archive.RemainingBytes() != 0) {
      return std::nullopt;
    }
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
  return message;
}

}  // namespace jackdawrack
