#include "share_borrower.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kRoundInterval{100};

/// Limits the cost of borrowing: in a small fleet an instance asks every peer
/// in each round, in a larger one only some peers in turn, at least one. Peers
/// per round times fleet size stays below the second constant where it can.
constexpr std::size_t kMostPeersPerRound = 16;
constexpr std::size_t kPeersPerRoundTimesFleet = 144;

std::size_t PeersPerRound(std::size_t fleet) {
  JR_CHECK(fleet > 0);
  return std::clamp<std::size_t>(kPeersPerRoundTimesFleet / fleet, 1,
                                 std::min(kMostPeersPerRound, fleet));
}

/// Shorter round interval while waiting for peers to confirm that they count
/// this instance.
constexpr Milliseconds kConfirmingInterval{20};

/// Maximum number of rounds at the shorter interval.
constexpr int kConfirmingRounds = 100;

}  // namespace

ShareBorrower::ShareBorrower(boost::asio::io_context& context,
                             InstanceId self,
                             FailureDomain domain,
                             const FleetViewHolder& holder,
                             PeerRouter& router,
                             AdmissionTable& admission)
    : m_timer(context),
      m_self(std::move(self)),
      m_domain(std::move(domain)),
      m_holder(holder),
      m_router(router),
      m_admission(admission) {}

void ShareBorrower::Start() {
  ScheduleRound();
}

void ShareBorrower::ScheduleRound() {
  m_timer.expires_after(m_noted_view == nullptr || m_confirming_rounds > 0
                            ? kConfirmingInterval
                            : kRoundInterval);
  m_timer.async_wait([self = shared_from_this()](auto error) {
    if (!error) {
      self->RunRound();
      self->ScheduleRound();
    }
  });
}

void ShareBorrower::RunRound() {
  const auto view = m_holder.Get();
  NoteList(view);
  const std::vector<ShareWish> wishes =
      m_admission.Wishes(view->State(), SteadyClock().Now());
  if (wishes.empty() && m_confirming_rounds == 0) {
    return;
  }
  const bool is_usable = m_admission.IsBaseUsable(SteadyClock().Now());
  m_confirming_rounds = is_usable ? 0 : std::max(0, m_confirming_rounds - 1);
  AskPeers(*view, wishes);
}

void ShareBorrower::NoteList(const std::shared_ptr<const FleetView>& view) {
  if (view == m_noted_view) {
    return;
  }
  const bool is_same_list =
      m_noted_view != nullptr &&
      m_noted_view->State().m_instances == view->State().m_instances;
  m_noted_view = view;
  if (!is_same_list) {
    m_admission.SetInstances(view->State().m_instances, SteadyClock().Now());
    m_confirming_rounds = kConfirmingRounds;
  }
}

void ShareBorrower::AskPeers(const FleetView& view,
                             const std::vector<ShareWish>& wishes) {
  const std::vector<Instance>& instances = view.State().m_instances;
  if (instances.empty()) {
    return;
  }
  const std::size_t count = PeersPerRound(instances.size());

  // Continue where the last round ended, so that every peer is asked in turn
  for (std::size_t i = 0; i < count; ++i) {
    const Instance& peer = instances[m_next_peer++ % instances.size()];
    if (peer.m_id == m_self || peer.m_state != InstanceState::kLive) {
      continue;
    }
    m_router.Ask(peer, wishes,
                 [self = shared_from_this(), lender = peer.m_id,
                  asked_at = SteadyClock().Now()](const ShareGrants& grants) {
                   self->m_admission.Borrow(lender, grants, asked_at);
                 });
  }
}

}  // namespace jackdawrack
