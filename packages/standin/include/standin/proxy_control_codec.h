#pragma once

#include <boost/json.hpp>
#include <vector>

#include "standin/fault_rule.h"

namespace jackdawrack {

// JSON of the fault proxy's control interface; what is not valid is left out.

[[nodiscard]] boost::json::object EncodeLinks(
    const std::vector<ProxyLink>& links);
[[nodiscard]] std::vector<ProxyLink> DecodeLinks(
    const boost::json::object& object);

[[nodiscard]] boost::json::object EncodeRules(
    const std::vector<FaultRule>& rules);
[[nodiscard]] std::vector<FaultRule> DecodeRules(
    const boost::json::object& object);

[[nodiscard]] boost::json::object EncodeMatch(const ProxyMatch& match);
[[nodiscard]] ProxyMatch DecodeMatch(const boost::json::object& object);

}  // namespace jackdawrack
