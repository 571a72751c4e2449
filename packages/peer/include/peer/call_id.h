#pragma once

#include <compare>
#include <cstdint>
#include <functional>

#include "model/request_id.h"

namespace jackdawrack {

/// Identifies one call between instances by the request and the number of the
/// attempt within it. A reply carries the id of its call; a reply that matches
/// no pending call is dropped.
struct CallId {
  RequestId m_request;
  std::uint32_t m_attempt = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_request, m_attempt);
  }

  friend auto operator<=>(const CallId&, const CallId&) = default;
  friend bool operator==(const CallId&, const CallId&) = default;
};

}  // namespace jackdawrack

template <>
struct std::hash<jackdawrack::CallId> {
  std::size_t operator()(const jackdawrack::CallId& id) const {
    return std::hash<jackdawrack::RequestId>()(id.m_request) ^ id.m_attempt;
  }
};
