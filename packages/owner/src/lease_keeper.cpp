#include "lease_keeper.h"

#include <boost/asio/post.hpp>

namespace jackdawrack {
namespace {

constexpr Milliseconds kTick{50};

/// Time after the first vote in which readiness waits for the first rounds.
constexpr Milliseconds kFirstRounds{300};

}  // namespace

LeaseKeeper::LeaseKeeper(boost::asio::io_context& context,
                         LeaseTiming terms,
                         LeaseHolderId self,
                         const FleetViewHolder& holder)
    : m_terms(terms),
      m_self(std::move(self)),
      m_view_holder(holder),
      m_strand(boost::asio::make_strand(context)),
      m_timer(m_strand),
      m_witness(terms, SteadyClock().Now()),
      m_leases(terms),
      m_guard(terms, RunGuardSettings()),
      m_order(kKeySlotCount) {}

void LeaseKeeper::Start(PeerRouter& router) {
  m_router = &router;
  ScheduleTick();
}

void LeaseKeeper::Leave() {
  const std::lock_guard lock(m_mutex);
  m_is_leaving = true;
}

bool LeaseKeeper::HasLeft() const {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    if (m_leases.FindLease(slot, clock.Now(), clock.WallNowMs())) {
      return false;
    }
  }
  return m_is_leaving;
}

bool LeaseKeeper::IsReady() const {
  const TimePoint from =
      m_witness.ActiveFrom() + m_terms.KeyTimestampMargin() + kFirstRounds;
  return SteadyClock().Now() >= from;
}

RunAdmission LeaseKeeper::Admit(const RunKey& key, std::uint64_t body_digest) {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  const TimePoint now = clock.Now();
  const UnixMs wall_now = clock.WallNowMs();
  m_demanded[key.m_slot] = now;
  RunAdmission admission;
  admission.m_lease = m_leases.FindLease(key.m_slot, now, wall_now);
  admission.m_verdict =
      m_guard.Admit(key, body_digest, admission.m_lease, now, wall_now);
  admission.m_is_starting = !m_witness.IsActive(now);
  const auto holder = m_holder_of.find(key.m_slot);
  if (!admission.m_lease && holder != m_holder_of.end()) {
    admission.m_holder = holder->second;
  }
  return admission;
}

std::optional<HeldLease> LeaseKeeper::Held(KeySlot slot) const {
  const SteadyClock clock;
  const std::lock_guard lock(m_mutex);
  return m_leases.FindLease(slot, clock.Now(), clock.WallNowMs());
}

void LeaseKeeper::Settle(const RunKey& key,
                         Outcome outcome,
                         std::string result) {
  const std::lock_guard lock(m_mutex);
  m_guard.RecordOutcome(key, outcome, std::move(result));
}

std::optional<KeyRecord> LeaseKeeper::Find(const RunKey& key) const {
  const std::lock_guard lock(m_mutex);
  return m_guard.Find(key);
}

LeaseReplyBody LeaseKeeper::OnCall(LeaseCallBody body) {
  const std::lock_guard lock(m_mutex);
  return std::visit([&](auto& call) { return Answer(call); }, body);
}

LeaseReplyBody LeaseKeeper::Answer(const LeaseRequest& ask) {
  return m_witness.Vote(ask, SteadyClock().Now());
}

LeaseReplyBody LeaseKeeper::Answer(const LeaseClaim& claim) {
  const SteadyClock clock;
  const InstanceId& asker = claim.m_requester.m_instance;

  // Give up only what this view prefers the asker for
  std::vector<KeySlot> slots;
  for (const KeySlot slot : claim.m_slots) {
    const bool is_held =
        slot < kKeySlotCount &&
        m_leases.FindLease(slot, clock.Now(), clock.WallNowMs()).has_value();
    if (is_held && !m_guard.IsFrozen(slot) &&
        IsBefore(asker, m_self.m_instance, slot)) {
      slots.push_back(slot);
    }
  }
  if (!slots.empty() && m_known.count(asker) != 0) {
    BeginMove(asker, std::move(slots));
  }
  return LeaseHandOverReply{};
}

LeaseReplyBody LeaseKeeper::Answer(LeaseHandOver& hand_over) {
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
    m_leases.RaiseFloor(slot.m_slot, slot.m_floor);
    m_taken[slot.m_slot] = now;
    m_asked.erase(slot.m_slot);
    m_guard.Import(std::move(slot), now);
  }
  reply.m_is_accepted = true;
  return reply;
}

void LeaseKeeper::ScheduleTick() {
  m_timer.expires_after(kTick);
  m_timer.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self != nullptr) {
      self->Tick();
      self->ScheduleTick();
    }
  });
}

void LeaseKeeper::Tick() {
  Asks asks;
  {
    const std::lock_guard lock(m_mutex);
    UpdateView();
    std::vector<KeySlot> released;
    const std::vector<KeySlot> slots = SlotsToAsk(released);
    asks = MakeAsks(slots, released);
    if (m_is_leaving) {
      MoveHeldSlots();
    }
  }
  SendAsks(std::move(asks));
  SendClaims();
  SendMoves();
}

void LeaseKeeper::UpdateView() {
  const auto view = m_view_holder.Get();
  if (view->State().m_instances == m_listed) {
    return;
  }
  m_listed = view->State().m_instances;
  std::vector<InstanceId> listed;
  std::vector<InstanceId> live;
  for (const Instance& instance : m_listed) {
    m_known[instance.m_id] = instance;
    listed.push_back(instance.m_id);
    if (instance.m_state == InstanceState::kLive) {
      live.push_back(instance.m_id);
    }
  }
  m_leases.SetInstanceList(listed, SteadyClock().Now());
  for (KeySlot slot = 0; slot < kKeySlotCount; ++slot) {
    m_order[slot] = HolderOrder(slot, live);
  }
}

void LeaseKeeper::Call(const InstanceId& target,
                       LeaseCallBody body,
                       PeerService::LeaseSink sink) {
  std::optional<Instance> instance;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_known.find(target);
    if (found != m_known.end()) {
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
