#pragma once

#include <string>
#include <vector>

#include "model/endpoint.h"
#include "net/net_error.h"

namespace jackdawrack {

/// What one instance answered on its operators' listener; either a body or
/// why it could not be read.
struct InstanceReading {
  Endpoint m_endpoint;
  bool m_is_read = false;
  std::string m_body;
  std::string m_problem;

  friend bool operator==(const InstanceReading&,
                         const InstanceReading&) = default;
};

/// Asks instances for `target` all at once; one that does not answer in two
/// seconds, or not with status 200, counts as not read.
[[nodiscard]] std::vector<InstanceReading> ReadInstances(
    const std::vector<Endpoint>& endpoints,
    const std::string& target);

/// Prints each instance that could not be read on standard error and returns
/// how many there are.
std::size_t ReportUnread(const std::vector<InstanceReading>& readings);

}  // namespace jackdawrack
