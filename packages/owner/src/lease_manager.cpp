#include "lease_manager.h"

#include <boost/asio/post.hpp>

#include "core/run_logged.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kTickInterval{50};

/// Time after the key timestamp margin that readiness leaves for the first
/// voting rounds.
constexpr Milliseconds kFirstRoundsTime{300};

}  // namespace

LeaseManager::LeaseManager(boost::asio::io_context& context,
                           LeaseTiming timing,
                           LeaseHolderId self,
                           const FleetViewHolder& view_holder)
    : m_timing(timing),
      m_self(std::move(self)),
      m_view_holder(view_holder),
      m_strand(boost::asio::make_strand(context)),
      m_timer(m_strand),
      m_witness(timing, SteadyClock().Now()),
      m_lease_holder(timing),
      m_run_guard(timing, RunGuardSettings()),
      m_preference_order(kKeySlotCount) {}

void LeaseManager::Start(PeerRouter& router) {
  m_router = &router;
  ScheduleTick();
}

void LeaseManager::StartLeaseHandOver() {
  const std::lock_guard lock(m_mutex);
  m_is_leaving = true;
}

bool LeaseManager::IsLeaseHandOverComplete() const {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    if (m_lease_holder.FindLease(slot, clock.Now(), clock.WallNowMs())) {
      return false;
    }
  }
  return m_is_leaving;
}

bool LeaseManager::IsReady() const {
  const TimePoint from =
      m_witness.ActiveFrom() + m_timing.KeyTimestampMargin() + kFirstRoundsTime;
  return SteadyClock().Now() >= from;
}

RunAdmission LeaseManager::Admit(const RunKey& key, std::uint64_t body_digest) {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  const TimePoint now = clock.Now();
  const UnixMs wall_now = clock.WallNowMs();
  m_last_demand_at[key.m_slot] = now;
  RunAdmission admission;
  admission.m_lease = m_lease_holder.FindLease(key.m_slot, now, wall_now);
  admission.m_verdict =
      m_run_guard.Admit(key, body_digest, admission.m_lease, now, wall_now);
  admission.m_is_starting = !m_witness.IsActive(now);
  const auto holder = m_last_known_holder.find(key.m_slot);
  if (!admission.m_lease && holder != m_last_known_holder.end()) {
    admission.m_holder = holder->second;
  }
  return admission;
}

std::optional<HeldLease> LeaseManager::FindLease(KeySlot slot) const {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  return m_lease_holder.FindLease(slot, clock.Now(), clock.WallNowMs());
}

void LeaseManager::RecordOutcome(const RunKey& key,
                                 Outcome outcome,
                                 std::string result) {
  const std::lock_guard lock(m_mutex);
  m_run_guard.RecordOutcome(key, outcome, std::move(result));
}

std::optional<KeyRecord> LeaseManager::FindKey(const RunKey& key) const {
  const std::lock_guard lock(m_mutex);
  return m_run_guard.Find(key);
}

LeaseReplyBody LeaseManager::OnLeaseCall(LeaseCallBody body) {
  const std::lock_guard lock(m_mutex);
  return std::visit([&](auto& call) { return Answer(call); }, body);
}

LeaseReplyBody LeaseManager::Answer(const LeaseRequest& request) {
  return m_witness.Vote(request, SteadyClock().Now());
}

LeaseReplyBody LeaseManager::Answer(const LeaseClaim& claim) {
  const SteadyClock clock;
  const InstanceId& requester = claim.m_requester.m_instance;

  // Hand over only slots for which the requester is preferred over this
  // instance
  std::vector<KeySlot> slots;
  for (const KeySlot slot : claim.m_slots) {
    const bool is_held =
        slot < kKeySlotCount &&
        m_lease_holder.FindLease(slot, clock.Now(), clock.WallNowMs())
            .has_value();
    if (is_held && !m_run_guard.IsFrozen(slot) &&
        IsPreferredOver(requester, m_self.m_instance, slot)) {
      slots.push_back(slot);
    }
  }
  if (!slots.empty() && m_known_instances.count(requester) != 0) {
    BeginHandOver(requester, std::move(slots));
  }
  return LeaseHandOverReply{};
}

LeaseReplyBody LeaseManager::Answer(LeaseHandOver& hand_over) {
  const TimePoint now = SteadyClock().Now();
  LeaseHandOverReply reply;
  reply.m_new_holder = m_self;
  if (m_is_leaving || !m_witness.IsActive(now)) {
    return reply;
  }
  for (SlotHandOver& slot : hand_over.m_slots) {
    if (slot.m_slot >= kKeySlotCount) {
      return reply;
    }
    m_lease_holder.RaiseFloor(slot.m_slot, slot.m_floor);
    m_taken_over_at[slot.m_slot] = now;
    m_last_request_at.erase(slot.m_slot);
    m_run_guard.Import(std::move(slot), now);
  }
  reply.m_is_accepted = true;
  return reply;
}

void LeaseManager::ScheduleTick() {
  m_timer.expires_after(kTickInterval);
  m_timer.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self != nullptr) {
      RunLogged("lease tick", [&self] { self->Tick(); });
      self->ScheduleTick();
    }
  });
}

void LeaseManager::Tick() {
  RequestsByWitness requests;
  {
    const std::lock_guard lock(m_mutex);
    UpdateInstances();
    std::vector<KeySlot> released;
    const std::vector<KeySlot> slots = SlotsToRequest(released);
    requests = MakeWitnessRequests(slots, released);
    if (m_is_leaving) {
      HandOverHeldSlots();
    }
  }
  SendWitnessRequests(std::move(requests));
  SendClaims();
  SendHandOvers();
}

void LeaseManager::UpdateInstances() {
  const auto view = m_view_holder.Get();
  if (view->State().m_instances == m_listed_instances) {
    return;
  }
  m_listed_instances = view->State().m_instances;
  std::vector<InstanceId> listed;
  std::vector<InstanceId> live;
  for (const Instance& instance : m_listed_instances) {
    m_known_instances[instance.m_id] = instance;
    listed.push_back(instance.m_id);
    if (instance.m_state == InstanceState::kLive) {
      live.push_back(instance.m_id);
    }
  }
  m_lease_holder.SetInstanceList(listed, SteadyClock().Now());
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    m_preference_order[slot] = HolderOrder(slot, live);
  }
}

void LeaseManager::CallPeer(const InstanceId& target,
                            LeaseCallBody body,
                            PeerService::LeaseSink sink) {
  std::optional<Instance> instance;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_known_instances.find(target);
    if (found != m_known_instances.end()) {
      instance = found->second;
    }
  }
  if (!instance) {
    sink(std::nullopt);
    return;
  }
  m_router->Call(*instance, std::move(body), std::move(sink));
}

}  // namespace jackdawrack
