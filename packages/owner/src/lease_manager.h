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

/// Verdict on a request, with the lease that it was based on.
struct RunAdmission {
  RunVerdict m_verdict = RunVerdict::kNoLease;
  std::optional<HeldLease> m_lease;
  /// True while this process has just started and may not acquire leases yet.
  bool m_is_starting = false;
  /// Instance believed to hold the lease; empty if it is unknown or if this
  /// instance holds it.
  InstanceId m_holder;
};

/// Manages the leases of this instance: acquires them from a quorum of
/// witnesses, renews them, claims slots for which it is preferred over the
/// holder, hands over slots for which another instance is preferred, and votes
/// on the requests of other instances.
///
/// One mutex protects the lease tables. No message is sent while it is locked.
class LeaseManager final : public std::enable_shared_from_this<LeaseManager> {
 public:
  /// `view_holder` must outlive this object.
  LeaseManager(boost::asio::io_context& context,
               LeaseTiming timing,
               LeaseHolderId self,
               const FleetViewHolder& view_holder);

  /// Starts to acquire leases. `router` must outlive this object.
  void Start(PeerRouter& router);

  /// Starts to hand every lease over and stops acquiring leases.
  void StartLeaseHandOver();

  /// Returns true once no lease is held after `StartLeaseHandOver`.
  [[nodiscard]] bool IsLeaseHandOverComplete() const;

  /// Returns true once this process votes, the first rounds have had time to
  /// finish, and idempotency keys with a timestamp of now can run.
  [[nodiscard]] bool IsReady() const;

  /// Decides whether a key may run here, and marks it as running if it may.
  /// Counts as demand for the key's slot.
  RunAdmission Admit(const RunKey& key, std::uint64_t body_digest);

  /// Returns the lease of a slot, or nothing if it is not held now.
  [[nodiscard]] std::optional<HeldLease> FindLease(KeySlot slot) const;

  /// Records the outcome of an admitted key.
  void RecordOutcome(const RunKey& key, Outcome outcome, std::string result);

  /// Returns the record of a key, or nothing if there is none.
  [[nodiscard]] std::optional<KeyRecord> FindKey(const RunKey& key) const;

  /// Handles a peer's lease call and returns the reply.
  LeaseReplyBody OnLeaseCall(LeaseCallBody body);

 private:
  using RequestsByWitness = std::map<InstanceId, LeaseRequest>;
  using SlotsByInstance = std::map<InstanceId, std::vector<KeySlot>>;

  /// Denials that witnesses sent for a slot in the current round.
  struct DenialTally {
    /// Instance that the last denial named as holder of the promise.
    InstanceId m_holder;
    std::size_t m_count = 0;
  };

  /// Hand-over of slots to one instance that is under way.
  struct PendingHandOver {
    std::vector<KeySlot> m_slots;
    /// Time after which requests that still run no longer delay the hand-over.
    TimePoint m_wait_deadline{};
    bool m_is_sent = false;
  };

  // Peer calls; require `m_mutex`
  LeaseReplyBody Answer(const LeaseRequest& request);
  LeaseReplyBody Answer(const LeaseClaim& claim);
  LeaseReplyBody Answer(LeaseHandOver& hand_over);

  // Voting rounds
  void ScheduleTick();
  void Tick();
  void UpdateInstances();
  std::vector<KeySlot> SlotsToRequest(std::vector<KeySlot>& released);
  [[nodiscard]] bool ShouldRequest(KeySlot slot,
                                   bool is_held,
                                   TimePoint now) const;
  [[nodiscard]] bool WasRecentlyTakenOver(KeySlot slot, TimePoint now) const;
  [[nodiscard]] bool ShouldYield(KeySlot slot, TimePoint now) const;
  [[nodiscard]] bool IsPreferredOver(const InstanceId& a,
                                     const InstanceId& b,
                                     KeySlot slot) const;
  RequestsByWitness MakeWitnessRequests(const std::vector<KeySlot>& slots,
                                        const std::vector<KeySlot>& released);
  void SendWitnessRequests(RequestsByWitness requests);
  void OnVotes(const InstanceId& witness, const LeaseVotes& votes);
  void SendClaims();

  // Hand-over
  void HandOverHeldSlots();
  void BeginHandOver(const InstanceId& target, std::vector<KeySlot> slots);
  void SendHandOvers();
  void OnHandOverReply(const InstanceId& target,
                       const std::vector<KeySlot>& slots,
                       const std::optional<LeaseReplyBody>& reply);

  void CallPeer(const InstanceId& target,
                LeaseCallBody body,
                PeerService::LeaseSink sink);

  const LeaseTiming m_timing;
  const LeaseHolderId m_self;
  const FleetViewHolder& m_view_holder;
  PeerRouter* m_router = nullptr;
  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  boost::asio::steady_timer m_timer;

  mutable RankedMutex m_mutex{LockRank::kOwnerTable};

  // Tables, locked by `m_mutex`
  LeaseWitness m_witness;
  LeaseHolder m_lease_holder;
  RunGuard m_run_guard;

  // Instance list, locked by `m_mutex`
  std::vector<Instance> m_listed_instances;
  /// Every instance that was ever listed: after a change of the list, the
  /// witnesses of the list before are still called.
  std::map<InstanceId, Instance> m_known_instances;
  /// Live instances by slot, most preferred holder first.
  std::vector<std::vector<InstanceId>> m_preference_order;

  // Acquisition and hand-over, locked by `m_mutex`
  bool m_is_leaving = false;
  /// Time of the last request for a key of a slot.
  std::map<KeySlot, TimePoint> m_last_demand_at;
  /// Time when witnesses were last asked for a slot.
  std::map<KeySlot, TimePoint> m_last_request_at;
  /// Time when a slot was taken over from another holder.
  std::map<KeySlot, TimePoint> m_taken_over_at;
  std::map<KeySlot, DenialTally> m_denial_tallies;
  /// Last known holder of a slot other than this instance.
  std::map<KeySlot, InstanceId> m_last_known_holder;
  /// Slots to claim, by the instance that holds them.
  SlotsByInstance m_claims;
  TimePoint m_next_claim_time{};
  /// Hand-overs that are under way, by receiving instance.
  std::map<InstanceId, PendingHandOver> m_pending_hand_overs;
  /// Earliest time of the next hand-over to an instance that did not accept the
  /// last one.
  std::map<InstanceId, TimePoint> m_next_hand_over;
};

}  // namespace jackdawrack
