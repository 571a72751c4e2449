#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/metrics.h"
#include "entry/entry_settings.h"
#include "model/request_id.h"
#include "net/http_server.h"
#include "peer/peer_router.h"
#include "policy/fleet_view.h"

namespace jackdawrack {

/// The entry role: takes callers' requests and is responsible for the answers.
class EntryService final {
 public:
  /// All references have to outlive this object.
  EntryService(boost::asio::io_context& context,
               EntrySettings settings,
               const FleetViewHolder& holder,
               PeerRouter& router,
               MetricsRegistry& metrics);
  ~EntryService();

  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;

  /// Serves `POST /v1/query` and `POST /v1/request`.
  void Handle(const HttpRequest& request, HttpServer::ReplyCallback reply);

  /// What was done for a finished request, as JSON; nothing once it is
  /// forgotten, or if this instance never took it.
  [[nodiscard]] std::optional<std::string> Explain(RequestId request) const;

  /// Starts to borrow parts of contracts from peers.
  void Start();

  /// True when requests can be admitted here, or when it has been waited for
  /// long enough that peers confirm this instance.
  [[nodiscard]] bool IsReady() const;

  /// Lends parts of contracts to a peer.
  [[nodiscard]] ShareGrants Lend(const InstanceId& borrower,
                                 const std::vector<ShareWish>& wishes);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
