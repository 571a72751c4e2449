#pragma once

#include <cstdint>
#include <string>

#include "core/clock.h"
#include "model/endpoint.h"

namespace jackdawrack {

/// One link of the fault proxy: what it listens on and where it leads.
struct ProxyLink {
  std::string m_name;
  /// "peer", "upstream" or "platform".
  std::string m_kind;
  /// Failure domain of the target.
  std::string m_domain;
  Endpoint m_listen;
  Endpoint m_target;

  friend bool operator==(const ProxyLink&, const ProxyLink&) = default;
};

/// Which connections a rule is about; an empty text stands for any.
struct ProxyMatch {
  /// Address that the caller's end is bound to.
  std::string m_source;
  std::string m_link;
  std::string m_kind;
  std::string m_domain;

  [[nodiscard]] bool Matches(const ProxyLink& link,
                             const std::string& source) const;

  friend bool operator==(const ProxyMatch&, const ProxyMatch&) = default;
};

/// What is done to the connections that match.
enum class ProxyFault {
  /// Open connections are reset, new ones as soon as they are accepted.
  kCut,
  /// Open and new connections swallow every byte, for good.
  kBlackhole,
  /// Bytes wait; each piece keeps its place.
  kDelay,
  /// Reply frames are duplicated and swapped with the one that follows.
  kShuffleFrames,
};

/// A fault that holds until the rules are replaced.
struct FaultRule {
  ProxyMatch m_match;
  ProxyFault m_fault = ProxyFault::kCut;
  /// Delay one way.
  Milliseconds m_delay{0};
  /// Greatest random addition to the delay.
  Milliseconds m_jitter{0};
  /// Pieces in a thousand that stall as if a segment had been lost.
  std::uint32_t m_stalls_per_mille = 0;
  /// Frames in a thousand that are duplicated, and as many swapped.
  std::uint32_t m_shuffled_per_mille = 0;

  friend bool operator==(const FaultRule&, const FaultRule&) = default;
};

}  // namespace jackdawrack
