#include "policy/membership.h"

#include <algorithm>
#include <bit>
#include <set>

namespace jackdawrack {
namespace {

/// A status is sent this many times per doubling of the fleet's size.
constexpr std::uint32_t kTellingsPerDoubling = 3;

/// Minimum number of times that a status is sent after an outdated one arrived.
constexpr std::uint32_t kCorrectionTellings = 2;

bool Supersedes(const MemberStatus& offered, const MemberStatus& held) {
  if (offered.m_incarnation != held.m_incarnation) {
    return offered.m_incarnation > held.m_incarnation;
  }
  return offered.m_state > held.m_state;
}

bool IsLiveState(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

// True for the states that only the instance itself reports.
bool IsOwnWord(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kLeaving;
}

}  // namespace

Membership::Membership(InstanceId self, FailureDomain domain)
    : m_domain(std::move(domain)),
      m_self{std::move(self), MemberState::kAlive, 0} {}

void Membership::SetListed(const std::vector<Instance>& instances) {
  m_listed.clear();
  for (const Instance& instance : instances) {
    m_listed[instance.m_id] = instance;
  }
  std::erase_if(m_marks,
                [&](const auto& entry) { return !IsListed(entry.first); });
  RebuildView();
}

bool Membership::Merge(const MemberStatus& notice,
                       const FailureDomain& from_domain,
                       TimePoint now) {
  if (notice.m_instance == m_self.m_instance) {
    return MergeSelf(notice);
  }
  if (!IsListed(notice.m_instance)) {
    return false;
  }
  // Ignore another domain's failure reports about instances of a third domain
  const bool is_from_its_domain =
      from_domain == m_listed[notice.m_instance].m_domain;
  if (!IsOwnWord(notice.m_state) && from_domain != m_domain &&
      !is_from_its_domain) {
    return false;
  }
  const MemberStatus held = StatusOf(notice.m_instance);
  if (!Supersedes(notice, held)) {
    TellAgainIfOlder(notice, held);
    return false;
  }
  Set(notice, now);
  return notice.m_state != held.m_state;
}

void Membership::TellAgainIfOlder(const MemberStatus& notice,
                                  const MemberStatus& held) {
  if (notice.m_incarnation == held.m_incarnation ||
      notice.m_state == held.m_state) {
    return;
  }
  Mark& mark = m_marks.at(held.m_instance);
  mark.m_tellings_left = std::max(mark.m_tellings_left, kCorrectionTellings);
}

bool Membership::MergeSelf(const MemberStatus& notice) {
  // Refute a different state reported of this instance or its previous process
  if (notice.m_incarnation < m_self.m_incarnation ||
      notice.m_state == m_self.m_state) {
    m_self.m_incarnation = std::max(m_self.m_incarnation, notice.m_incarnation);
    return false;
  }
  m_self.m_incarnation = notice.m_incarnation + 1;
  return true;
}

void Membership::Suspect(const InstanceId& instance, TimePoint now) {
  MemberStatus notice = StatusOf(instance);
  if (!IsListed(instance) || notice.m_state != MemberState::kAlive) {
    return;
  }
  notice.m_state = MemberState::kSuspect;
  Set(notice, now);
}

void Membership::RestartSuspicions(TimePoint now) {
  for (auto& [id, mark] : m_marks) {
    if (mark.m_notice.m_state == MemberState::kSuspect) {
      mark.m_since = now;
    }
  }
}

void Membership::Tick(TimePoint now) {
  std::vector<MemberStatus> confirmed;
  for (const auto& [id, mark] : m_marks) {
    if (mark.m_notice.m_state == MemberState::kSuspect &&
        now - mark.m_since >= kSuspicionTimeout) {
      confirmed.push_back(mark.m_notice);
    }
  }
  for (MemberStatus& notice : confirmed) {
    notice.m_state = MemberState::kUnreachable;
    Set(notice, now);
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
  const auto found = m_marks.find(instance);
  if (found == m_marks.end()) {
    return MemberStatus{instance, MemberState::kAlive, 0};
  }
  return found->second.m_notice;
}

std::vector<MemberStatus> Membership::TakeNews(std::size_t limit,
                                               const FailureDomain& to_domain) {
  // Select statuses for `to_domain`, those with most transmissions left first
  std::vector<Mark*> news;
  for (auto& [id, mark] : m_marks) {
    if (mark.m_tellings_left > 0 && MayTell(mark, to_domain)) {
      news.push_back(&mark);
    }
  }
  const std::size_t count = std::min(limit, news.size());
  std::partial_sort(news.begin(),
                    news.begin() + static_cast<std::ptrdiff_t>(count),
                    news.end(), [](const Mark* a, const Mark* b) {
                      return a->m_tellings_left > b->m_tellings_left;
                    });

  std::vector<MemberStatus> taken;
  for (std::size_t i = 0; i < count; ++i) {
    --news[i]->m_tellings_left;
    taken.push_back(news[i]->m_notice);
  }
  return taken;
}

bool Membership::IsListed(const InstanceId& instance) const {
  return m_listed.contains(instance);
}

bool Membership::MayTell(const Mark& mark,
                         const FailureDomain& to_domain) const {
  if (to_domain == m_domain || IsOwnWord(mark.m_notice.m_state)) {
    return true;
  }
  return m_listed.at(mark.m_notice.m_instance).m_domain == m_domain;
}

std::uint32_t Membership::Tellings() const {
  return kTellingsPerDoubling *
         static_cast<std::uint32_t>(std::bit_width(m_listed.size()));
}

void Membership::Set(const MemberStatus& notice, TimePoint now) {
  // Do not spread a new incarnation of an instance that stays alive
  const bool was_alive =
      StatusOf(notice.m_instance).m_state == MemberState::kAlive;
  const bool is_alive = notice.m_state == MemberState::kAlive;
  const bool was_live = IsLiveState(StatusOf(notice.m_instance).m_state);
  ++m_mark_version;
  m_marks[notice.m_instance] =
      Mark{notice, now, was_alive && is_alive ? 0 : Tellings()};
  if (was_live != IsLiveState(notice.m_state)) {
    RebuildView();
  }
}

void Membership::RebuildView() {
  m_view.clear();
  std::set<FailureDomain> with_live;
  for (const auto& [id, instance] : m_listed) {
    Instance seen = instance;
    if (!IsLiveState(StatusOf(id).m_state)) {
      seen.m_state = InstanceState::kLeaving;
    }
    if (seen.m_state == InstanceState::kLive) {
      with_live.insert(seen.m_domain);
    }
    m_view.push_back(std::move(seen));
  }

  // Keep leaving instances live if nobody in their domain can take over
  for (Instance& seen : m_view) {
    if (!with_live.contains(seen.m_domain) &&
        StatusOf(seen.m_id).m_state == MemberState::kLeaving) {
      seen.m_state = m_listed.at(seen.m_id).m_state;
    }
  }
  ++m_view_version;
  ++m_mark_version;
}

}  // namespace jackdawrack
