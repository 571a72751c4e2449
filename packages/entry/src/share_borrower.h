#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "admission_table.h"
#include "peer/peer_router.h"
#include "policy/fleet_view.h"

namespace jackdawrack {

/// Asks peers for parts of contracts while callers want more here than this
/// instance may use, and tells the admission table of the list in use.
class ShareBorrower final : public std::enable_shared_from_this<ShareBorrower> {
 public:
  /// All references have to outlive this object.
  ShareBorrower(boost::asio::io_context& context,
                InstanceId self,
                FailureDomain domain,
                const FleetViewHolder& holder,
                PeerRouter& router,
                AdmissionTable& admission);

  /// Starts the timer.
  void Start();

 private:
  void ScheduleRound();
  void RunRound();
  void NoteList(const std::shared_ptr<const FleetView>& view);
  void AskPeers(const FleetView& view,
                const std::vector<ContractShare>& wishes);

  boost::asio::steady_timer m_timer;
  const InstanceId m_self;
  const FailureDomain m_domain;
  const FleetViewHolder& m_holder;
  PeerRouter& m_router;
  AdmissionTable& m_admission;
  std::shared_ptr<const FleetView> m_noted_view;
  /// Rounds in which peers are asked even without a wish, so that they confirm
  /// that they count this instance.
  int m_confirming_rounds = 0;
  std::size_t m_next_peer = 0;
};

}  // namespace jackdawrack
