#include "fleet_http.h"

#include <stdexcept>
#include <thread>

namespace jackdawrack {
namespace {

constexpr int kControlTries = 50;
constexpr Milliseconds kControlPause{100};

}  // namespace

HttpRequest MakePost(const std::string& target, std::string body) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = target;
  request.m_body = std::move(body);
  return request;
}

HttpReply CallOrZero(const Endpoint& endpoint,
                     HttpRequest request,
                     Milliseconds timeout) {
  const auto reply = CallHttp(endpoint, std::move(request), timeout);
  if (!reply) {
    HttpReply none;
    none.m_status = 0;
    none.m_body = reply.error().m_message;
    return none;
  }
  return reply.assume_value();
}

HttpReply CallControl(const Endpoint& endpoint, const HttpRequest& request) {
  for (int attempt = 0; attempt < kControlTries; ++attempt) {
    HttpReply reply = CallOrZero(endpoint, request, kControlCallTimeout);
    if (reply.m_status == 200) {
      return reply;
    }
    std::this_thread::sleep_for(kControlPause);
  }
  throw std::runtime_error("no answer from the control of " +
                           endpoint.ToText());
}

}  // namespace jackdawrack
