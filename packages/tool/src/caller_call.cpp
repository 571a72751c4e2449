#include "caller_call.h"

#include <fmt/format.h>

#include "core/check.h"
#include "tool/http_call.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kCallTimeout{65'000};

}  // namespace

HttpRequest MakePost(const std::string& target,
                     const boost::json::object& body) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = target;
  request.m_body = boost::json::serialize(body);
  return request;
}

ExitCode PrintCall(const std::string& at, HttpRequest request) {
  const auto endpoint = Endpoint::Parse(at);
  JR_CHECK(endpoint.has_value());
  const auto reply = CallHttp(*endpoint, std::move(request), kCallTimeout);
  if (!reply) {
    fmt::print(stderr, "{}: {}\n", at, reply.error().m_message);
    return ExitCode::kFailed;
  }
  fmt::print("{}\n", reply.assume_value().m_body);
  return reply.assume_value().m_status == 200 ? ExitCode::kOk
                                              : ExitCode::kFailed;
}

}  // namespace jackdawrack
