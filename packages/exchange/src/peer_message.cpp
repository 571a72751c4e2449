#include "exchange/peer_message.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "peer/bounded_input_archive.h"

namespace jackdawrack {
namespace {

/// Format version; incremented with each change to the encoding.
constexpr std::uint32_t kFormatVersion = 2;

// Serializes a duration as a 64-bit number of milliseconds.
template <typename Archive>
void SerializeDuration(Archive& archive, Milliseconds& duration) {
  std::int64_t count = duration.count();
  archive(count);
  duration = Milliseconds(count);
}

}  // namespace

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
void serialize(Archive& archive, PeerMessage& value) {
  archive(value.m_peers, value.m_revision, value.m_wants_snapshot,
          value.m_snapshot);
}

std::string EncodePeerMessage(const PeerMessage& message) {
  std::ostringstream stream;
  cereal::BinaryOutputArchive archive(stream);
  archive(kFormatVersion, message);
  return std::move(stream).str();
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  PeerMessage message;
  std::uint32_t format_version = 0;
  try {
    BoundedInputArchive archive(bytes);
    archive(format_version);
    if (format_version != kFormatVersion) {
      return std::nullopt;
    }
    archive(message);
    if (archive.RestSize() != 0) {
      return std::nullopt;
    }
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
  return message;
}

}  // namespace jackdawrack
