#include "routing/published_state.h"

#include <algorithm>
#include <string>

#include "core/event.h"

namespace jackdawrack {
namespace {

void LogIgnored(const UnreadableValue& value) {
  LogEvent(EventId::kPublishedValueIgnored, "key={} reason=\"{}\"", value.m_key,
           value.m_reason);
}

// The store's records are checked when they are decoded; this also covers those
// of peers.
bool IsUsable(const ReplicaRecord& record) {
  if (record.m_endpoint.IsConnectable()) {
    return true;
  }
  LogIgnored({record.m_id.Text(),
              "no connection can be opened to " + record.m_endpoint.ToText()});
  return false;
}

// As above.
bool IsUsable(const RoutingConfig& config) {
  const auto has_no_target = [](const Route& route) {
    return route.m_services.empty() && !route.IsScattered();
  };
  const auto found = std::find_if(config.m_routes.begin(),
                                  config.m_routes.end(), has_no_target);
  if (found == config.m_routes.end()) {
    return true;
  }
  LogIgnored({"version " + std::to_string(config.m_version),
              "no service for the requests of route " + found->m_name});
  return false;
}

}  // namespace

bool PublishedState::ApplyConfig(const RoutingConfig& config) {
  if (!IsUsable(config)) {
    return false;
  }
  const std::uint64_t known = m_table == nullptr ? 0 : m_table->Version();
  if (m_table != nullptr && config.m_version <= known) {
    return false;
  }
  m_table = std::make_shared<const RouteTable>(config);
  LogEvent(EventId::kRoutesApplied, "version={} previous={} routes={}",
           config.m_version, known, config.m_routes.size());
  return true;
}

void PublishedState::Apply(const std::vector<PublishedChange>& changes,
                           TimePoint now) {
  for (const PublishedChange& change : changes) {
    if (const auto* config = std::get_if<RoutingConfig>(&change)) {
      ApplyConfig(*config);
    } else if (const auto* record = std::get_if<ReplicaRecord>(&change)) {
      if (IsUsable(*record)) {
        m_directory.Apply(*record);
      }
    } else if (const auto* removal = std::get_if<ReplicaRemoval>(&change)) {
      m_directory.Remove(removal->m_id, now);
    } else if (const auto* missing = std::get_if<MissingReplica>(&change)) {
      m_directory.MarkMissing(missing->m_id, now);
    } else if (const auto* unreadable = std::get_if<UnreadableValue>(&change)) {
      LogIgnored(*unreadable);
    }
  }
  if (!changes.empty()) {
    Notify();
  }
}

void PublishedState::ApplyListing(const std::vector<PublishedChange>& listing,
                                  TimePoint now) {
  std::vector<ReplicaRecord> records;
  for (const PublishedChange& change : listing) {
    if (const auto* config = std::get_if<RoutingConfig>(&change)) {
      ApplyConfig(*config);
    } else if (const auto* record = std::get_if<ReplicaRecord>(&change)) {
      if (IsUsable(*record)) {
        records.push_back(*record);
      }
    } else if (const auto* unreadable = std::get_if<UnreadableValue>(&change)) {
      LogIgnored(*unreadable);
    }
  }
  m_directory.ApplyListing(records, now);
  for (const PublishedChange& change : listing) {
    if (const auto* missing = std::get_if<MissingReplica>(&change)) {
      m_directory.MarkMissing(missing->m_id, now);
    }
  }
  m_has_listing = true;
  LogEvent(EventId::kReplicasListed, "listed={} known={}", records.size(),
           m_directory.Size());
  Notify();
}

void PublishedState::DropExpired(TimePoint now) {
  if (m_directory.DropExpired(now)) {
    Notify();
  }
}

void PublishedState::Notify() const {
  if (m_listener) {
    m_listener();
  }
}

}  // namespace jackdawrack
