#include "caller_call.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace jackdawrack {
namespace {

constexpr std::array<std::string_view, 9> kHopFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection",
    "TE",         "Transfer-Encoding", "Trailer",
    "Upgrade",    "Content-Length",    "Expect"};

std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

void CallerAnswer::AddField(std::string_view name, std::string_view value) {
  m_fields.append(name).append(": ").append(value).append("\r\n");
}

CallerAnswer MakeOwnAnswer(unsigned status, std::string_view message) {
  CallerAnswer answer;
  answer.m_status = status;
  answer.AddField("Content-Type", "text/plain");
  answer.m_body = std::string(message) + "\n";
  return answer;
}

CallerAnswer MakeNotRunAnswer(Milliseconds retry_after,
                              std::string_view message) {
  constexpr unsigned kStatusUnavailable = 503;
  CallerAnswer answer = MakeOwnAnswer(kStatusUnavailable, message);
  answer.AddField(
      "Retry-After",
      fmt::format("{:.3f}", static_cast<double>(retry_after.count()) / 1000.0));
  return answer;
}

bool IsHopField(std::string_view name, std::string_view nominated) {
  const bool is_known = std::any_of(
      kHopFields.begin(), kHopFields.end(),
      [name](std::string_view field) { return boost::iequals(field, name); });
  if (is_known || nominated.empty()) {
    return is_known;
  }
  boost::beast::http::token_list tokens(
      boost::beast::string_view(nominated.data(), nominated.size()));
  return tokens.exists(boost::beast::string_view(name.data(), name.size()));
}

std::string MakeForwardedHead(const CallerMessage& message,
                              const HeaderNames& headers) {
  std::string head =
      fmt::format("{} {} HTTP/1.1\r\n", ToView(message.method_string()),
                  ToView(message.target()));
  const auto nominated = ToView(message[boost::beast::http::field::connection]);
  for (const auto& field : message) {
    const std::string_view name = ToView(field.name_string());
    const bool is_ours = boost::iequals(name, headers.m_deadline) ||
                         boost::iequals(name, headers.m_expected_upstream);
    if (!is_ours && !IsHopField(name, nominated)) {
      head.append(name).append(": ").append(ToView(field.value()));
      head.append("\r\n");
    }
  }
  const bool may_have_body = message.has_content_length() || message.chunked();
  if (may_have_body) {
    head += fmt::format("Content-Length: {}\r\n", message.body().size());
  }
  return head;
}

std::string MakeUpstreamHead(const CallerCall& call,
                             const HeaderNames& headers,
                             const std::string& upstream_id,
                             TimePoint now) {
  std::string head = call.m_forwarded_head;
  head += fmt::format("{}: {}\r\n{}: {}\r\n\r\n", headers.m_deadline,
                      RemainingMs(now, call.m_final_at),
                      headers.m_expected_upstream, upstream_id);
  return head;
}

}  // namespace jackdawrack
