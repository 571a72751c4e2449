#include "share_borrower.h"

#include <algorithm>

#include "core/check.h"
#include "core/run_logged.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kRoundInterval{100};

/// Limits the cost of borrowing: in a small fleet an instance asks every peer
/// in each round, in a larger one only some peers in turn. The whole fleet
/// sends at most `kFleetRequestsPerRound` requests per round, or one per
/// instance.
constexpr std::size_t kMaxPeersPerRound = 16;
constexpr std::size_t kFleetRequestsPerRound = 144;

std::size_t PeersPerRound(std::size_t fleet_size) {
  JR_CHECK(fleet_size > 0);
  return std::clamp<std::size_t>(kFleetRequestsPerRound / fleet_size, 1,
                                 std::min(kMaxPeersPerRound, fleet_size));
}

/// Shorter round interval while waiting for peers to confirm that they count
/// this instance.
constexpr Milliseconds kConfirmationInterval{20};

/// Maximum number of rounds at the shorter interval.
constexpr int kMaxConfirmationRounds = 100;

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
  m_timer.expires_after(m_last_view == nullptr || m_confirmation_rounds_left > 0
                            ? kConfirmationInterval
                            : kRoundInterval);
  m_timer.async_wait([self = shared_from_this()](auto error) {
    if (!error) {
      RunLogged("share round", [&self] { self->RunRound(); });
      self->ScheduleRound();
    }
  });
}

void ShareBorrower::RunRound() {
  const auto view = m_holder.Get();
  UpdateInstanceList(view);
  const std::vector<ContractShare> wishes =
      m_admission.Wishes(view->State(), SteadyClock().Now());
  if (wishes.empty() && m_confirmation_rounds_left == 0) {
    return;
  }
  const bool is_usable = m_admission.IsBaseShareUsable(SteadyClock().Now());
  m_confirmation_rounds_left =
      is_usable ? 0 : std::max(0, m_confirmation_rounds_left - 1);
  AskPeers(*view, wishes);
}

void ShareBorrower::UpdateInstanceList(
    const std::shared_ptr<const FleetView>& view) {
  if (view == m_last_view) {
    return;
  }
  const bool is_same_list =
      m_last_view != nullptr &&
      m_last_view->State().m_instances == view->State().m_instances;
  m_last_view = view;
  if (!is_same_list) {
    m_admission.SetInstances(view->State().m_instances, SteadyClock().Now());
    m_confirmation_rounds_left = kMaxConfirmationRounds;
  }
}

void ShareBorrower::AskPeers(const FleetView& view,
                             const std::vector<ContractShare>& wishes) {
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
    m_router.RequestShares(
        peer, wishes,
        [self = shared_from_this(), lender = peer.m_id,
         requested_at = SteadyClock().Now()](const ShareGrants& grants) {
          self->m_admission.RecordBorrowed(lender, grants, requested_at);
        });
  }
}

}  // namespace jackdawrack
