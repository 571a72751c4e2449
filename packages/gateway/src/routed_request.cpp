#include "routed_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace jackdawrack {
namespace {

// Fields that concern one connection only, or that the gateway sets itself to
// frame the message.
constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection",
    "TE",         "Transfer-Encoding", "Trailer",
    "Upgrade",    "Content-Length",    "Expect"};

std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

void CallerResponse::AddField(std::string_view name, std::string_view value) {
  m_fields.append(name).append(": ").append(value).append("\r\n");
}

CallerResponse MakeLocalResponse(unsigned status, std::string_view message) {
  CallerResponse response;
  response.m_status = status;
  response.AddField("Content-Type", "text/plain");
  response.m_body = std::string(message) + "\n";
  return response;
}

CallerResponse MakeServiceUnavailableResponse(Milliseconds retry_after,
                                              std::string_view message) {
  constexpr unsigned kStatusUnavailable = 503;
  CallerResponse response = MakeLocalResponse(kStatusUnavailable, message);
  response.AddField(
      "Retry-After",
      fmt::format("{:.3f}", static_cast<double>(retry_after.count()) / 1000.0));
  return response;
}

bool IsHopByHopField(std::string_view name, std::string_view connection_field) {
  const bool is_known = std::any_of(
      kHopByHopFields.begin(), kHopByHopFields.end(),
      [name](std::string_view field) { return boost::iequals(field, name); });
  if (is_known || connection_field.empty()) {
    return is_known;
  }
  boost::beast::http::token_list tokens(boost::beast::string_view(
      connection_field.data(), connection_field.size()));
  return tokens.exists(boost::beast::string_view(name.data(), name.size()));
}

std::string MakeForwardedHead(const CallerHttpRequest& request,
                              const HeaderNames& headers) {
  std::string head =
      fmt::format("{} {} HTTP/1.1\r\n", ToView(request.method_string()),
                  ToView(request.target()));
  const auto connection_field =
      ToView(request[boost::beast::http::field::connection]);
  for (const auto& field : request) {
    const std::string_view name = ToView(field.name_string());
    const bool is_set_by_gateway =
        boost::iequals(name, headers.m_deadline) ||
        boost::iequals(name, headers.m_expected_upstream);
    if (!is_set_by_gateway && !IsHopByHopField(name, connection_field)) {
      head.append(name).append(": ").append(ToView(field.value()));
      head.append("\r\n");
    }
  }
  const bool may_have_body = request.has_content_length() || request.chunked();
  if (may_have_body) {
    head += fmt::format("Content-Length: {}\r\n", request.body().size());
  }
  return head;
}

std::string MakeUpstreamHead(const RoutedRequest& request,
                             const HeaderNames& headers,
                             const std::string& upstream_id,
                             TimePoint now) {
  std::string head = request.m_forwarded_head;
  head += fmt::format("{}: {}\r\n{}: {}\r\n\r\n", headers.m_deadline,
                      RemainingMs(now, request.m_deadline),
                      headers.m_expected_upstream, upstream_id);
  return head;
}

}  // namespace jackdawrack
