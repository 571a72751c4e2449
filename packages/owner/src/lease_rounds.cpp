#include "lease_keeper.h"

#include <boost/asio/post.hpp>

#include "core/random.h"

namespace jackdawrack {
namespace {

/// Interval at which a slot that is not held is asked for; longer than the
/// round trip to any witness.
constexpr Milliseconds kAskInterval{150};

/// Interval of claims sent to holders.
constexpr Milliseconds kClaimInterval{200};

/// Time after the last request in which a slot is kept that another instance
/// is preferred for.
constexpr Milliseconds kDemandWindow{10'000};

/// Time after the last request in which a slot is asked for that another
/// instance is preferred for.
constexpr Milliseconds kAskWindow{400};

/// Of so many rounds with split votes, the more preferred asker yields in one.
constexpr std::uint64_t kYieldOneIn = 8;

}  // namespace

std::vector<KeySlot> LeaseKeeper::SlotsToAsk(std::vector<KeySlot>& released) {
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  std::vector<KeySlot> slots;
  if (m_listed.empty() || !m_witness.IsActive(now)) {
    return slots;
  }
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    const bool is_held =
        m_leases.FindLease(slot, now, clock.WallNowMs()).has_value();
    const Milliseconds interval =
        is_held ? m_terms.m_renew_interval : kAskInterval;
    if (m_asked[slot] + interval > now || !IsWanted(slot, is_held, now) ||
        (m_is_leaving && !is_held)) {
      continue;
    }
    m_asked[slot] = now;

    // Let another asker win if the votes were split
    const bool yields = !is_held && ShouldYield(slot, now);
    m_rivals.erase(slot);
    if (yields) {
      m_leases.Drop(slot);
      released.push_back(slot);
      continue;
    }
    slots.push_back(slot);
  }
  return slots;
}

bool LeaseKeeper::IsWanted(KeySlot slot, bool is_held, TimePoint now) const {
  if (WasTakenLately(slot, now)) {
    return true;
  }
  if (!m_order[slot].empty() && m_order[slot].front() == m_self.m_instance) {
    return true;
  }
  const auto demanded = m_demanded.find(slot);
  const Milliseconds window = is_held ? kDemandWindow : kAskWindow;
  return demanded != m_demanded.end() && demanded->second + window > now;
}

bool LeaseKeeper::WasTakenLately(KeySlot slot, TimePoint now) const {
  const auto taken = m_taken.find(slot);
  return taken != m_taken.end() && taken->second + kDemandWindow > now;
}

// Others have the promises without which no quorum is left. The one with fewer
// votes gives its own back; views of who is preferred may differ, so that
// sometimes the other one does as well.
bool LeaseKeeper::ShouldYield(KeySlot slot, TimePoint now) const {
  const auto rival = m_rivals.find(slot);
  const std::size_t grants = m_leases.GrantCount(slot);
  if (rival == m_rivals.end() || grants == 0 || WasTakenLately(slot, now)) {
    return false;
  }
  const std::size_t count = m_leases.WitnessesToContact(slot, now).size();
  if (rival->second.m_denials + WitnessQuorum(count) <= count) {
    return false;
  }
  return rival->second.m_denials >= grants ||
         IsBefore(rival->second.m_holder, m_self.m_instance, slot) ||
         RandomBelow(kYieldOneIn) == 0;
}

bool LeaseKeeper::IsBefore(const InstanceId& a,
                           const InstanceId& b,
                           KeySlot slot) const {
  for (const InstanceId& instance : m_order[slot]) {
    if (instance == a || instance == b) {
      return instance == a && a != b;
    }
  }
  return false;
}

LeaseKeeper::Asks LeaseKeeper::MakeAsks(const std::vector<KeySlot>& slots,
                                        const std::vector<KeySlot>& released) {
  Asks asks;
  if (slots.empty() && released.empty()) {
    return asks;
  }
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  const std::uint64_t number =
      m_leases.StartRound(slots, now, clock.WallNowMs());
  for (const KeySlot slot : slots) {
    for (const InstanceId& witness : m_leases.WitnessesToContact(slot, now)) {
      asks[witness].m_slots.push_back(slot);
    }
  }
  for (const KeySlot slot : released) {
    for (const InstanceId& witness : m_leases.WitnessesToContact(slot, now)) {
      asks[witness].m_released.push_back(slot);
    }
  }
  for (auto& [witness, ask] : asks) {
    ask.m_requester = m_self;
    ask.m_round = number;
  }
  return asks;
}

void LeaseKeeper::SendAsks(Asks asks) {
  for (auto& [witness, ask] : asks) {
    Call(witness, std::move(ask),
         [weak = weak_from_this(),
          witness = witness](const std::optional<LeaseReplyBody>& reply) {
           const auto self = weak.lock();
           if (self == nullptr || !reply) {
             return;
           }
           if (const auto* votes = std::get_if<LeaseVotes>(&*reply)) {
             self->OnVotes(witness, *votes);
           }
         });
  }
}

void LeaseKeeper::OnVotes(const InstanceId& witness, const LeaseVotes& votes) {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  m_leases.OnVotes(witness, votes, clock.Now(), clock.WallNowMs());
  for (const LeaseDenial& denial : votes.m_denials) {
    if (denial.m_holder.IsEmpty() || denial.m_holder == m_self.m_instance ||
        denial.m_slot >= kKeySlotCount) {
      continue;
    }
    m_holder_of[denial.m_slot] = denial.m_holder;
    Rival& rival = m_rivals[denial.m_slot];
    rival.m_holder = denial.m_holder;
    ++rival.m_denials;

    // Ask the holder for what this instance is preferred for
    if (IsBefore(m_self.m_instance, denial.m_holder, denial.m_slot)) {
      m_claims[denial.m_holder].push_back(denial.m_slot);
    }
  }
}

void LeaseKeeper::SendClaims() {
  SlotsByInstance claims;
  {
    const std::lock_guard lock(m_mutex);
    const TimePoint now = SteadyClock().Now();
    if (now < m_next_claims || m_is_leaving) {
      return;
    }
    m_next_claims = now + kClaimInterval;
    claims = std::exchange(m_claims, {});
  }
  for (auto& [holder, slots] : claims) {
    std::sort(slots.begin(), slots.end());
    slots.erase(std::unique(slots.begin(), slots.end()), slots.end());
    Call(holder, LeaseClaim{m_self, std::move(slots)},
         [](const std::optional<LeaseReplyBody>&) {});
  }
}

}  // namespace jackdawrack
