#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "net/http_message.h"

namespace jackdawrack {

/// One connection of a caller to an instance, on which a test writes what it
/// likes. Blocks; not safe for several threads.
class RawCaller final {
 public:
  /// Connects to a loopback port; throws if it cannot.
  explicit RawCaller(std::uint16_t port);

  /// Sends bytes as they are; false if the connection has ended.
  bool Send(const std::string& bytes);

  /// The next reply, or nothing if the connection ends before it is whole or
  /// nothing comes for a long time; `LastProblem` then tells why.
  std::optional<HttpReply> Read();

  /// Why the last `Read` returned nothing: the error, and the bytes that were
  /// read but are no reply.
  [[nodiscard]] const std::string& LastProblem() const {
    return m_last_problem;
  }

  /// Sends a request with an id, and reads its reply; on a new connection if
  /// the last reply announced that the instance closes the old one.
  std::optional<HttpReply> Call(const std::string& method,
                                const std::string& target,
                                const std::string& id,
                                const std::string& body = {},
                                int deadline_ms = 2'000);

  /// Closes the connection.
  void Close();

  /// A request as `Call` sends it.
  static std::string MakeRequest(const std::string& method,
                                 const std::string& target,
                                 const std::string& id,
                                 const std::string& body,
                                 int deadline_ms);

 private:
  void Connect();

  const std::uint16_t m_port;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  std::string m_last_problem;
  /// True if the last reply had "Connection: close".
  bool m_is_closing = false;
};

/// The status of a reply; 0 if there is none.
[[nodiscard]] inline unsigned StatusOf(const std::optional<HttpReply>& reply) {
  return reply ? reply->m_status : 0;
}

}  // namespace jackdawrack
