#include "testing/raw_caller.h"

#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace jackdawrack {

namespace http = boost::beast::http;

namespace {

/// Longer than any reply takes; bounds a test whose request is never answered.
constexpr std::chrono::seconds kReadTimeout{20};

}  // namespace

RawCaller::RawCaller(std::uint16_t port) : m_port(port), m_socket(m_context) {
  Connect();
}

void RawCaller::Connect() {
  m_socket = boost::asio::ip::tcp::socket(m_context);
  m_socket.connect(boost::asio::ip::tcp::endpoint(
      boost::asio::ip::address_v4::loopback(), m_port));
  m_buffer.clear();
  m_is_closing = false;
}

bool RawCaller::Send(const std::string& bytes) {
  boost::system::error_code error;
  boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
  return !error;
}

std::optional<HttpReply> RawCaller::Read() {
  http::response<http::string_body> message;
  boost::system::error_code error = boost::asio::error::timed_out;
  std::size_t size = 0;
  http::async_read(m_socket, m_buffer, message,
                   [&](boost::system::error_code result, std::size_t read) {
                     if (result != boost::asio::error::operation_aborted) {
                       error = result;
                     }
                     size = read;
                   });
  m_context.restart();
  m_context.run_for(kReadTimeout);
  if (!m_context.stopped()) {
    m_socket.cancel();
    m_context.run();
  }
  if (error) {
    m_last_problem =
        fmt::format("{} after {} bytes; unread: \"{}\"", error.message(), size,
                    boost::beast::buffers_to_string(m_buffer.data()));
    return std::nullopt;
  }
  HttpReply reply;
  reply.m_status = message.result_int();
  for (const auto& field : message) {
    reply.m_headers.push_back(HttpHeader{std::string(field.name_string()),
                                         std::string(field.value())});
  }
  reply.m_body = std::move(message.body());
  m_is_closing = !message.keep_alive();
  return reply;
}

std::string RawCaller::MakeRequest(const std::string& method,
                                   const std::string& target,
                                   const std::string& id,
                                   const std::string& body,
                                   int deadline_ms) {
  std::string request = fmt::format(
      "{} {} HTTP/1.1\r\nHost: app.test\r\nX-Request-Id: {}\r\n"
      "X-Deadline-Ms: {}\r\n",
      method, target, id, deadline_ms);
  if (!body.empty()) {
    request += fmt::format("Content-Length: {}\r\n", body.size());
  }
  return request + "\r\n" + body;
}

std::optional<HttpReply> RawCaller::Call(const std::string& method,
                                         const std::string& target,
                                         const std::string& id,
                                         const std::string& body,
                                         int deadline_ms) {
  if (m_is_closing) {
    Connect();
  }
  Send(MakeRequest(method, target, id, body, deadline_ms));
  return Read();
}

void RawCaller::Close() {
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

}  // namespace jackdawrack
