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

/// The entry role: accepts callers' requests, forwards them to owners and
/// answers the callers.
class EntryService final {
 public:
  /// All references must outlive this object.
  EntryService(boost::asio::io_context& context,
               EntrySettings settings,
               const FleetViewHolder& holder,
               PeerRouter& router,
               MetricsRegistry& metrics);
  ~EntryService();

  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;

  /// Serves `POST /v1/query` and `POST /v1/request`; refuses any other target
  /// with `EntryErrc::kNotFound`. Calls `reply` once.
  void Handle(const HttpRequest& request, HttpServer::Reply reply);

  /// Returns the trace of a finished request as JSON, or nothing if this
  /// instance did not handle the request or no longer stores its trace.
  [[nodiscard]] std::optional<std::string> Explain(RequestId request) const;

  /// Starts the periodic borrowing of contract shares from peers.
  void Start();

  /// True once this instance may use its own share of the contracts, or after
  /// a timeout if peers do not confirm that they count this instance.
  [[nodiscard]] bool IsReady() const;

  /// Lends unused contract shares to a peer.
  [[nodiscard]] ShareGrants Lend(const InstanceId& borrower,
                                 const std::vector<ShareWish>& wishes);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
