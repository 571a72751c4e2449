#include "lease_manager.h"

#include <boost/asio/post.hpp>

#include "core/random.h"

namespace jackdawrack {
namespace {

/// Interval of acquisition attempts for a slot that is not held. Longer than
/// the round trip to any witness, because votes of an earlier round are
/// dropped.
constexpr Milliseconds kAskInterval{150};

/// Interval at which claims are sent to holders.
constexpr Milliseconds kClaimInterval{200};

/// Time after the last request for a slot during which its lease is renewed
/// although another instance is preferred. Slots taken over from another holder
/// are kept for the same time.
constexpr Milliseconds kDemandWindow{10'000};

/// Time after the last request for a slot during which this instance tries to
/// acquire it although another instance is preferred.
constexpr Milliseconds kAskWindow{400};

/// After a round with split votes, an instance that would otherwise keep its
/// grants yields with a probability of one in this number.
constexpr std::uint64_t kYieldOneIn = 8;

}  // namespace

std::vector<KeySlot> LeaseManager::SlotsToAsk(std::vector<KeySlot>& released) {
  const SteadyClock clock;
  const TimePoint now = clock.Now();
  std::vector<KeySlot> slots;
  if (m_listed.empty() || !m_witness.IsActive(now)) {
    return slots;
  }
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    const bool is_held =
        m_leases.Held(slot, now, clock.WallNowMs()).has_value();
    const Milliseconds interval =
        is_held ? m_terms.m_renew_interval : kAskInterval;
    if (m_asked[slot] + interval > now || !IsWanted(slot, is_held, now) ||
        (m_is_leaving && !is_held)) {
      continue;
    }
    m_asked[slot] = now;

    // Give the grants back after a split vote, so that another instance can
    // reach a quorum
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

bool LeaseManager::IsWanted(KeySlot slot, bool is_held, TimePoint now) const {
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

bool LeaseManager::WasTakenLately(KeySlot slot, TimePoint now) const {
  const auto taken = m_taken.find(slot);
  return taken != m_taken.end() && taken->second + kDemandWindow > now;
}

// Yields only after a split vote, in which so many witnesses denied the slot
// that the rest can't form a quorum. The instance with fewer votes, or the less
// preferred one, yields. Because instances may see different preference orders
// and then all keep their grants, the others sometimes yield at random as well.
bool LeaseManager::ShouldYield(KeySlot slot, TimePoint now) const {
  const auto rival = m_rivals.find(slot);
  const std::size_t grants = m_leases.GrantsOf(slot);
  if (rival == m_rivals.end() || grants == 0 || WasTakenLately(slot, now)) {
    return false;
  }
  const std::size_t count = m_leases.WitnessesToAsk(slot, now).size();
  if (rival->second.m_denials + WitnessQuorum(count) <= count) {
    return false;
  }
  return rival->second.m_denials >= grants ||
         IsBefore(rival->second.m_holder, m_self.m_instance, slot) ||
         RandomBelow(kYieldOneIn) == 0;
}

bool LeaseManager::IsBefore(const InstanceId& a,
                            const InstanceId& b,
                            KeySlot slot) const {
  for (const InstanceId& instance : m_order[slot]) {
    if (instance == a || instance == b) {
      return instance == a && a != b;
    }
  }
  return false;
}

LeaseManager::Asks LeaseManager::MakeAsks(
    const std::vector<KeySlot>& slots,
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
    for (const InstanceId& witness : m_leases.WitnessesToAsk(slot, now)) {
      asks[witness].m_slots.push_back(slot);
    }
  }
  for (const KeySlot slot : released) {
    for (const InstanceId& witness : m_leases.WitnessesToAsk(slot, now)) {
      asks[witness].m_released.push_back(slot);
    }
  }
  for (auto& [witness, ask] : asks) {
    ask.m_asker = m_self;
    ask.m_number = number;
  }
  return asks;
}

void LeaseManager::SendAsks(Asks asks) {
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

void LeaseManager::OnVotes(const InstanceId& witness, const LeaseVotes& votes) {
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

    // Claim slots for which this instance is preferred over the holder
    if (IsBefore(m_self.m_instance, denial.m_holder, denial.m_slot)) {
      m_claims[denial.m_holder].push_back(denial.m_slot);
    }
  }
}

void LeaseManager::SendClaims() {
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
