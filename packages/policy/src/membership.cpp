#include "policy/membership.h"

#include <algorithm>
#include <bit>
#include <set>

namespace jackdawrack {
namespace {

/// A status is sent this many times per doubling of the fleet's size.
constexpr std::uint32_t kTransmitsPerDoubling = 3;

/// Minimum number of times that a status is sent after an outdated one arrived.
constexpr std::uint32_t kMinCorrectionTransmits = 2;

bool Supersedes(const MemberStatus& received, const MemberStatus& known) {
  if (received.m_incarnation != known.m_incarnation) {
    return received.m_incarnation > known.m_incarnation;
  }
  return received.m_state > known.m_state;
}

bool IsLiveState(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

// True for the states that only the instance itself reports.
bool IsSelfReported(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kLeaving;
}

}  // namespace

Membership::Membership(InstanceId self, FailureDomain domain)
    : m_domain(std::move(domain)),
      m_self{std::move(self), MemberState::kAlive, 0} {}

void Membership::SetInstanceList(const std::vector<Instance>& instances) {
  m_listed.clear();
  for (const Instance& instance : instances) {
    m_listed[instance.m_id] = instance;
  }
  std::erase_if(m_records,
                [&](const auto& entry) { return !IsListed(entry.first); });
  RebuildView();
}

bool Membership::Merge(const MemberStatus& status,
                       const FailureDomain& from_domain,
                       TimePoint now) {
  if (status.m_instance == m_self.m_instance) {
    return MergeOwnStatus(status);
  }
  if (!IsListed(status.m_instance)) {
    return false;
  }
  // Ignore another domain's failure reports about instances of a third domain
  const bool is_from_instance_domain =
      from_domain == m_listed[status.m_instance].m_domain;
  if (!IsSelfReported(status.m_state) && from_domain != m_domain &&
      !is_from_instance_domain) {
    return false;
  }
  const MemberStatus known = StatusOf(status.m_instance);
  if (!Supersedes(status, known)) {
    ResendIfOutdated(status, known);
    return false;
  }
  SetStatus(status, now);
  return status.m_state != known.m_state;
}

void Membership::ResendIfOutdated(const MemberStatus& received,
                                  const MemberStatus& known) {
  if (received.m_incarnation == known.m_incarnation ||
      received.m_state == known.m_state) {
    return;
  }
  MemberRecord& record = m_records.at(known.m_instance);
  record.m_transmits_left =
      std::max(record.m_transmits_left, kMinCorrectionTransmits);
}

bool Membership::MergeOwnStatus(const MemberStatus& status) {
  // Refute a different state reported of this instance or its previous process
  if (status.m_incarnation < m_self.m_incarnation ||
      status.m_state == m_self.m_state) {
    m_self.m_incarnation = std::max(m_self.m_incarnation, status.m_incarnation);
    return false;
  }
  m_self.m_incarnation = status.m_incarnation + 1;
  return true;
}

void Membership::Suspect(const InstanceId& instance, TimePoint now) {
  MemberStatus status = StatusOf(instance);
  if (!IsListed(instance) || status.m_state != MemberState::kAlive) {
    return;
  }
  status.m_state = MemberState::kSuspect;
  SetStatus(status, now);
}

void Membership::RestartSuspicionTimeouts(TimePoint now) {
  for (auto& [id, record] : m_records) {
    if (record.m_status.m_state == MemberState::kSuspect) {
      record.m_state_since = now;
    }
  }
}

void Membership::ExpireSuspicions(TimePoint now) {
  std::vector<MemberStatus> expired;
  for (const auto& [id, record] : m_records) {
    if (record.m_status.m_state == MemberState::kSuspect &&
        now - record.m_state_since >= kSuspicionTimeout) {
      expired.push_back(record.m_status);
    }
  }
  for (MemberStatus& status : expired) {
    status.m_state = MemberState::kUnreachable;
    SetStatus(status, now);
  }
}

void Membership::AnnounceLeaving() {
  m_self.m_state = MemberState::kLeaving;
  ++m_self.m_incarnation;
  RebuildView();
}

MemberStatus Membership::StatusOf(const InstanceId& instance) const {
  if (instance == m_self.m_instance) {
    return m_self;
  }
  const auto found = m_records.find(instance);
  if (found == m_records.end()) {
    return MemberStatus{instance, MemberState::kAlive, 0};
  }
  return found->second.m_status;
}

std::vector<MemberStatus> Membership::TakeUpdates(
    std::size_t limit,
    const FailureDomain& to_domain) {
  // Select statuses for `to_domain`, those with most transmissions left first
  std::vector<MemberRecord*> updates;
  for (auto& [id, record] : m_records) {
    if (record.m_transmits_left > 0 && MaySend(record, to_domain)) {
      updates.push_back(&record);
    }
  }
  const std::size_t count = std::min(limit, updates.size());
  std::partial_sort(
      updates.begin(), updates.begin() + static_cast<std::ptrdiff_t>(count),
      updates.end(), [](const MemberRecord* a, const MemberRecord* b) {
        return a->m_transmits_left > b->m_transmits_left;
      });

  std::vector<MemberStatus> taken;
  for (std::size_t i = 0; i < count; ++i) {
    --updates[i]->m_transmits_left;
    taken.push_back(updates[i]->m_status);
  }
  return taken;
}

bool Membership::IsListed(const InstanceId& instance) const {
  return m_listed.contains(instance);
}

bool Membership::MaySend(const MemberRecord& record,
                         const FailureDomain& to_domain) const {
  if (to_domain == m_domain || IsSelfReported(record.m_status.m_state)) {
    return true;
  }
  return m_listed.at(record.m_status.m_instance).m_domain == m_domain;
}

std::uint32_t Membership::MaxTransmits() const {
  return kTransmitsPerDoubling *
         static_cast<std::uint32_t>(std::bit_width(m_listed.size()));
}

void Membership::SetStatus(const MemberStatus& status, TimePoint now) {
  // Do not spread a new incarnation of an instance that stays alive
  const bool was_alive =
      StatusOf(status.m_instance).m_state == MemberState::kAlive;
  const bool is_alive = status.m_state == MemberState::kAlive;
  const bool was_live = IsLiveState(StatusOf(status.m_instance).m_state);
  ++m_status_version;
  m_records[status.m_instance] =
      MemberRecord{status, now, was_alive && is_alive ? 0 : MaxTransmits()};
  if (was_live != IsLiveState(status.m_state)) {
    RebuildView();
  }
}

void Membership::RebuildView() {
  m_instances.clear();
  std::set<FailureDomain> live_domains;
  for (const auto& [id, instance] : m_listed) {
    Instance viewed = instance;
    if (!IsLiveState(StatusOf(id).m_state)) {
      viewed.m_state = InstanceState::kLeaving;
    }
    if (viewed.m_state == InstanceState::kLive) {
      live_domains.insert(viewed.m_domain);
    }
    m_instances.push_back(std::move(viewed));
  }

  // Keep leaving instances live if nobody in their domain can take over
  for (Instance& viewed : m_instances) {
    if (!live_domains.contains(viewed.m_domain) &&
        StatusOf(viewed.m_id).m_state == MemberState::kLeaving) {
      viewed.m_state = m_listed.at(viewed.m_id).m_state;
    }
  }
  ++m_view_version;
  ++m_status_version;
}

}  // namespace jackdawrack
