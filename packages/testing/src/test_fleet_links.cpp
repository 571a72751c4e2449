#include <fmt/format.h>

#include <algorithm>

#include "core/check.h"
#include "testing/test_fleet.h"

namespace jackdawrack {
namespace {

/// The proxy listens for the endpoint at place P at place P + kProxyOffset.
constexpr std::uint16_t kProxyOffset = 300;
constexpr std::uint16_t kProxyControlPlace = 300;
constexpr int kFirstDomainNet = 2;

}  // namespace

void TestFleet::StartProxy() {
  m_proxy = std::make_unique<ChildProcess>(
      ProgramPath("standin_proxy"),
      std::vector<std::string>{"--control", At(kProxyControlPlace).ToText(),
                               "--seed",
                               std::to_string(m_settings.m_proxy_seed)},
      LogPath("proxy"));
  std::vector<ProxyLink> links;
  const auto add = [&](const char* kind, const std::string& name,
                       const std::string& domain, const Endpoint& target) {
    links.push_back(ProxyLink{name, kind, domain, Published(target), target});
  };
  add("platform", "platform", "", PlatformEndpoint());
  for (const Member& member : m_members) {
    add("peer", member.m_name, member.m_domain, Peers(member.m_name));
  }
  for (const Upstream& upstream : m_map.m_upstreams) {
    add("upstream", upstream.m_id.Text(), upstream.m_domain.Text(),
        upstream.m_endpoint);
  }
  m_proxy_control = std::make_unique<ProxyControl>(At(kProxyControlPlace));
  m_proxy_control->AddLinks(links);
}

void TestFleet::CutDomains(const std::string& a, const std::string& b) {
  FaultRule there;
  there.m_match = ProxyMatch{SourceOf(a), "", "", b};
  FaultRule back;
  back.m_match = ProxyMatch{SourceOf(b), "", "", a};
  m_proxy_control->Add({there, back});
}

void TestFleet::CutPlatform(const std::string& domain) {
  FaultRule rule;
  rule.m_match = ProxyMatch{SourceOf(domain), "", "platform", ""};
  m_proxy_control->Add({rule});
}

void TestFleet::SilencePeers() {
  m_proxy_control->Silence(ProxyMatch{"", "", "peer", ""});
}

void TestFleet::SilenceUpstreams() {
  m_proxy_control->Silence(ProxyMatch{"", "", "upstream", ""});
}

std::string TestFleet::SourceOf(const std::string& domain) const {
  const auto& domains = m_settings.m_domains;
  const auto found = std::find(domains.begin(), domains.end(), domain);
  JR_CHECK(found != domains.end());
  return fmt::format("127.0.{}.1", kFirstDomainNet + (found - domains.begin()));
}

Endpoint TestFleet::Published(const Endpoint& direct) const {
  Endpoint published = direct;
  if (m_settings.m_proxied) {
    published.m_port += kProxyOffset;
  }
  return published;
}

std::string TestFleet::MapText() const {
  TestMap published = m_map;
  for (Upstream& upstream : published.m_upstreams) {
    upstream.m_endpoint = Published(upstream.m_endpoint);
  }
  return published.ToText();
}

}  // namespace jackdawrack
