#include "testing/proxy_control.h"

#include <stdexcept>
#include <thread>

#include "standin/proxy_control_codec.h"
#include "tool/http_call.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kTimeout{5000};
constexpr Milliseconds kRetryDelay{10};
constexpr int kMaxTries = 500;

}  // namespace

void ProxyControl::AddLinks(const std::vector<ProxyLink>& links) {
  Post("/control/links", boost::json::serialize(EncodeLinks(links)));
}

void ProxyControl::Add(const std::vector<FaultRule>& rules) {
  m_rules.insert(m_rules.end(), rules.begin(), rules.end());
  Post("/control/rules", boost::json::serialize(EncodeRules(m_rules)));
}

void ProxyControl::Heal() {
  m_rules.clear();
  Add({});
}

void ProxyControl::Silence(const ProxyMatch& match) {
  Post("/control/silence", boost::json::serialize(EncodeMatch(match)));
}

void ProxyControl::Post(const std::string& target,
                        const std::string& body) const {
  for (int attempt = 0; attempt < kMaxTries; ++attempt) {
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = target;
    request.m_body = body;
    const auto reply = CallHttp(m_control, std::move(request), kTimeout);
    if (reply && reply.assume_value().m_status == 200) {
      return;
    }
    if (reply) {
      break;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  throw std::runtime_error("the fault proxy did not accept " + target);
}

}  // namespace jackdawrack
