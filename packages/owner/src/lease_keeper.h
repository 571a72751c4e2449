#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "core/ranked_mutex.h"
#include "peer/peer_router.h"
#include "policy/fleet_view.h"
#include "policy/lease_witness.h"
#include "policy/run_guard.h"

namespace jackdawrack {

/// What a guard says of a request, with the lease it was judged by.
struct RunAdmission {
  RunVerdict m_verdict = RunVerdict::kNoLease;
  std::optional<HeldLease> m_lease;
  /// True while this process was just started and may ask for no lease.
  bool m_is_starting = false;
  /// The instance believed to hold the lease, if this one does not.
  InstanceId m_holder;
};

/// Keeps the leases of this instance: asks witnesses, renews, claims slots that
/// it is preferred for, hands over those that it is not, and votes for others.
///
/// The lease tables are locked by one mutex; nothing is sent under it.
class LeaseKeeper final : public std::enable_shared_from_this<LeaseKeeper> {
 public:
  /// `holder` has to outlive this object.
  LeaseKeeper(boost::asio::io_context& context,
              LeaseTiming terms,
              LeaseHolderId self,
              const FleetViewHolder& holder);

  /// Starts to ask for leases; `router` has to outlive this object.
  void Start(PeerRouter& router);

  /// Hands every lease over and asks for none any more.
  void Leave();

  /// True once no lease is held after `Leave`.
  [[nodiscard]] bool HasLeft() const;

  /// True once this process votes and keys minted from now on can run.
  [[nodiscard]] bool IsReady() const;

  /// Judges a key and marks it as running if it may run.
  RunAdmission Admit(const RunKey& key, std::uint64_t body_digest);

  /// The lease of a slot, if it holds now.
  [[nodiscard]] std::optional<HeldLease> Held(KeySlot slot) const;

  /// Records what became of an admitted key.
  void Settle(const RunKey& key, Outcome outcome, std::string result);

  /// The record of a key, or nothing.
  [[nodiscard]] std::optional<KeyRecord> Find(const RunKey& key) const;

  /// Answers a peer's call about leases.
  LeaseReplyBody OnCall(LeaseCallBody body);

 private:
  using Asks = std::map<InstanceId, LeaseRequest>;
  using SlotsByInstance = std::map<InstanceId, std::vector<KeySlot>>;

  /// Who had witnesses' promises in the present round, and how many.
  struct Rival {
    InstanceId m_holder;
    std::size_t m_denials = 0;
  };

  /// Slots on their way to another instance.
  struct Move {
    std::vector<KeySlot> m_slots;
    TimePoint m_give_up_waiting{};
    bool m_is_sent = false;
  };

  // Calls of peers; the mutex is held
  LeaseReplyBody Answer(const LeaseRequest& ask);
  LeaseReplyBody Answer(const LeaseClaim& claim);
  LeaseReplyBody Answer(LeaseHandOver& hand_over);

  // Rounds
  void ScheduleTick();
  void Tick();
  void UpdateView();
  std::vector<KeySlot> SlotsToAsk(std::vector<KeySlot>& released);
  [[nodiscard]] bool IsWanted(KeySlot slot, bool is_held, TimePoint now) const;
  [[nodiscard]] bool WasTakenLately(KeySlot slot, TimePoint now) const;
  [[nodiscard]] bool ShouldYield(KeySlot slot, TimePoint now) const;
  [[nodiscard]] bool IsBefore(const InstanceId& a,
                              const InstanceId& b,
                              KeySlot slot) const;
  Asks MakeAsks(const std::vector<KeySlot>& slots,
                const std::vector<KeySlot>& released);
  void SendAsks(Asks asks);
  void OnVotes(const InstanceId& witness, const LeaseVotes& votes);
  void SendClaims();

  // Hand-over
  void MoveHeldSlots();
  void BeginMove(const InstanceId& target, std::vector<KeySlot> slots);
  void SendMoves();
  void OnMoved(const InstanceId& target,
               const std::vector<KeySlot>& slots,
               const std::optional<LeaseReplyBody>& reply);

  void Call(const InstanceId& target,
            LeaseCallBody body,
            PeerService::LeaseSink sink);

  const LeaseTiming m_terms;
  const LeaseHolderId m_self;
  const FleetViewHolder& m_view_holder;
  PeerRouter* m_router = nullptr;
  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  boost::asio::steady_timer m_timer;

  mutable RankedMutex m_mutex{LockRank::kOwnerTable};

  // Tables, locked by `m_mutex`
  LeaseWitness m_witness;
  LeaseHolder m_leases;
  RunGuard m_guard;

  // View, locked by `m_mutex`
  std::vector<Instance> m_listed;
  std::map<InstanceId, Instance> m_known;
  std::vector<std::vector<InstanceId>> m_order;

  // Work under way, locked by `m_mutex`
  bool m_is_leaving = false;
  std::map<KeySlot, TimePoint> m_demanded;
  std::map<KeySlot, TimePoint> m_asked;
  /// When a slot was taken over.
  std::map<KeySlot, TimePoint> m_taken;
  std::map<KeySlot, Rival> m_rivals;
  std::map<KeySlot, InstanceId> m_holder_of;
  SlotsByInstance m_claims;
  TimePoint m_next_claims{};
  std::map<InstanceId, Move> m_moves;
  std::map<InstanceId, TimePoint> m_no_move_before;
};

}  // namespace jackdawrack
