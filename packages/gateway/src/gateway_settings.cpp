#include "gateway/gateway_settings.h"

namespace jackdawrack {

bool GatewaySettings::IsSameRegion(const FailureDomain& a,
                                   const FailureDomain& b) const {
  const auto region_a = m_regions.find(a);
  const auto region_b = m_regions.find(b);
  return a == b ||
         (region_a != m_regions.end() && region_b != m_regions.end() &&
          region_a->second == region_b->second);
}

Proximity GatewaySettings::ProximityOf(const FailureDomain& domain) const {
  if (domain == m_domain) {
    return Proximity::kLocal;
  }
  return IsSameRegion(domain, m_domain) ? Proximity::kRegional
                                        : Proximity::kRemote;
}

}  // namespace jackdawrack
