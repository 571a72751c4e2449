#include "standin/fault_rule.h"

namespace jackdawrack {
namespace {

bool IsAnyOr(const std::string& wanted, const std::string& actual) {
  return wanted.empty() || wanted == actual;
}

}  // namespace

bool ProxyMatch::Matches(const ProxyLink& link,
                         const std::string& source) const {
  return IsAnyOr(m_source, source) && IsAnyOr(m_link, link.m_name) &&
         IsAnyOr(m_kind, link.m_kind) && IsAnyOr(m_domain, link.m_domain);
}

}  // namespace jackdawrack
