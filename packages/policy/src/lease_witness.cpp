#include "policy/lease_witness.h"

#include <algorithm>

namespace jackdawrack {
namespace {

/// Maximum time without a promise to another holder that a grant reports;
/// longer times are reported as this.
constexpr Milliseconds kMaxNoOtherHolderTime{3'600'000};

/// Maximum number of processes whose round numbers are tracked; requests of
/// further processes are denied.
constexpr std::size_t kMaxTrackedRequesters = 100'000;

std::uint32_t NoOtherHolderMs(TimePoint since, TimePoint now) {
  return std::min(RemainingMs(since, now),
                  static_cast<std::uint32_t>(kMaxNoOtherHolderTime.count()));
}

}  // namespace

LeaseWitness::LeaseWitness(LeaseTiming timing, TimePoint started)
    : m_timing(timing), m_active_from(started + timing.PromiseDuration()) {}

LeaseVotes LeaseWitness::Vote(const LeaseRequest& request, TimePoint now) {
  LeaseVotes votes;
  votes.m_round = request.m_round;

  // Abstain while promises of a previous process may be valid; deny stale
  // rounds
  if (!IsActive(now) || !RecordIfNewest(request)) {
    for (const KeySlot slot : request.m_slots) {
      votes.m_denials.push_back(LeaseDenial{slot, {}});
    }
    return votes;
  }

  Release(request, now);
  Transfer(request, now);
  for (const KeySlot slot : request.m_slots) {
    VoteOnSlot(request, slot, now, votes);
  }
  return votes;
}

// Records the request's round number and returns true if it is the highest from
// this process. A delayed release or transfer must not undo a later grant.
bool LeaseWitness::RecordIfNewest(const LeaseRequest& request) {
  const auto found = m_last_rounds.find(request.m_requester);
  if (found == m_last_rounds.end() &&
      m_last_rounds.size() >= kMaxTrackedRequesters) {
    return false;
  }
  std::uint64_t& last_round = m_last_rounds[request.m_requester];
  if (request.m_round <= last_round) {
    return false;
  }
  last_round = request.m_round;
  return true;
}

void LeaseWitness::Release(const LeaseRequest& request, TimePoint now) {
  for (const KeySlot slot : request.m_released) {
    const auto found = m_promises.find(slot);
    if (found != m_promises.end() &&
        found->second.m_holder == request.m_requester) {
      found->second.m_until = std::min(found->second.m_until, now);
    }
  }
}

void LeaseWitness::Transfer(const LeaseRequest& request, TimePoint now) {
  for (const KeySlot slot : request.m_transferred) {
    const auto found = m_promises.find(slot);
    const bool is_held = found != m_promises.end() &&
                         found->second.m_holder == request.m_requester &&
                         now < found->second.m_until;
    if (is_held) {
      found->second.m_holder = request.m_successor;
      found->second.m_until = now + m_timing.PromiseDuration();
    }
  }
}

void LeaseWitness::VoteOnSlot(const LeaseRequest& request,
                              KeySlot slot,
                              TimePoint now,
                              LeaseVotes& votes) {
  const auto [found, is_new] = m_promises.try_emplace(slot);
  Promise& promise = found->second;
  if (is_new) {
    promise = Promise{request.m_requester, now, m_active_from};
  }

  // Deny while a promise to another holder is valid
  const bool is_other = promise.m_holder != request.m_requester;
  if (is_other && now < promise.m_until) {
    votes.m_denials.push_back(LeaseDenial{slot, promise.m_holder.m_instance});
    return;
  }

  if (is_other) {
    promise.m_no_other_holder_since = promise.m_until;
    promise.m_holder = request.m_requester;
  }
  promise.m_until = now + m_timing.PromiseDuration();
  votes.m_grants.push_back(
      LeaseGrant{slot, NoOtherHolderMs(promise.m_no_other_holder_since, now)});
}

}  // namespace jackdawrack
