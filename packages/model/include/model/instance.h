#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ini.h"
#include "model/endpoint.h"
#include "model/ids.h"

namespace jackdawrack {

/// What the published list, or an instance itself, says of its life.
enum class InstanceState : std::uint8_t { kLive, kLeaving };

/// One instance of the daemon.
struct Instance {
  InstanceId m_id;
  FailureDomain m_domain;
  /// Where peers connect to it.
  Endpoint m_peer_endpoint;
  InstanceState m_state = InstanceState::kLive;

  friend auto operator<=>(const Instance&, const Instance&) = default;
  friend bool operator==(const Instance&, const Instance&) = default;
};

/// Parses the published instance list, sorted by name.
[[nodiscard]] std::vector<Instance> ParseInstanceList(
    const std::string& file,
    const std::string& text,
    std::vector<IniProblem>& problems);

}  // namespace jackdawrack
