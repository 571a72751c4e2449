#pragma once

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>

#include "core/clock.h"

namespace jackdawrack {

/// What the header of a response says about further requests to the upstream.
struct UpstreamNotice {
  bool m_is_leaving = false;
  /// Time for which the upstream wants no requests, if it asks for that.
  std::optional<Milliseconds> m_pause;

  friend bool operator==(const UpstreamNotice&,
                         const UpstreamNotice&) = default;
};

/// Reads the notice in a response header; `leaving_header` names the field with
/// which an upstream says that it leaves. Invalid values are ignored.
[[nodiscard]] UpstreamNotice ReadNotice(
    const boost::beast::http::response_header<>& header,
    const std::string& leaving_header);

}  // namespace jackdawrack
