#pragma once

#include <compare>
#include <cstdint>
#include <functional>

#include "model/request_id.h"

namespace jackdawrack {

/// Names one call between instances: the request and the attempt within it.
/// Replies are matched by it; one that matches nothing is dropped.
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
