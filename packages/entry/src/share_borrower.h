#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "admission_table.h"
#include "peer/peer_router.h"
#include "policy/fleet_view.h"

namespace jackdawrack {

/// Periodically borrows contract shares from peers while the demand at this
/// instance exceeds its own share, and passes the current instance list to the
/// admission table.
class ShareBorrower final : public std::enable_shared_from_this<ShareBorrower> {
 public:
  /// All references must outlive this object.
  ShareBorrower(boost::asio::io_context& context,
                InstanceId self,
                FailureDomain domain,
                const FleetViewHolder& holder,
                PeerRouter& router,
                AdmissionTable& admission);

  /// Starts the periodic rounds.
  void Start();

 private:
  void ScheduleRound();
  void RunRound();
  void UpdateInstanceList(const std::shared_ptr<const FleetView>& view);
  void AskPeers(const FleetView& view, const std::vector<ShareWish>& wishes);

  boost::asio::steady_timer m_timer;
  const InstanceId m_self;
  const FailureDomain m_domain;
  const FleetViewHolder& m_holder;
  PeerRouter& m_router;
  AdmissionTable& m_admission;
  std::shared_ptr<const FleetView> m_last_view;
  /// Remaining rounds in which peers are asked even if no share is needed, so
  /// that they confirm that they count this instance.
  int m_confirmation_rounds_left = 0;
  std::size_t m_next_peer = 0;
};

}  // namespace jackdawrack
