#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "exchange/update_message.h"
#include "net/http_client.h"

namespace jackdawrack {

/// Polls one peer at a time for published changes, over one connection that is
/// kept open.
class UpdateFollower final {
 public:
  /// Receives the reply, or nothing if there was no valid one.
  using Handler = std::function<void(std::optional<UpdateReply>)>;

  /// `context` outlives the follower.
  explicit UpdateFollower(boost::asio::io_context& context)
      : m_context(context) {}

  /// Sends a poll; `IsPolling` must be false. The serial of `request` is set by
  /// the follower.
  void Poll(const Endpoint& peer, UpdateRequest request, Handler handler);

  /// True while a poll has not ended.
  [[nodiscard]] bool IsPolling() const { return m_is_polling; }

 private:
  void OnReply(const NetResult<HttpReply>& reply, const Handler& handler);

  boost::asio::io_context& m_context;
  std::unique_ptr<HttpClient> m_client;
  Endpoint m_peer;
  std::uint64_t m_last_serial = 0;
  bool m_is_polling = false;
};

}  // namespace jackdawrack
