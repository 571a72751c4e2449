#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/boot_clock.h"
#include "gateway/header_names.h"
#include "routing/route_table.h"

namespace jackdawrack {

using CallerMessage =
    boost::beast::http::request<boost::beast::http::string_body>;

/// The answer to a caller: the status line and all fields but those that frame
/// the message, and the body.
struct CallerAnswer {
  unsigned m_status = 500;
  /// Fields as they are written, each ended by CR LF.
  std::string m_fields;
  std::string m_body;
  /// The connection is closed behind the answer.
  bool m_closes = false;

  /// Appends one field.
  void AddField(std::string_view name, std::string_view value);

  /// The same answer, with the connection closed behind it.
  [[nodiscard]] CallerAnswer Closing() && {
    m_closes = true;
    return std::move(*this);
  }
};

/// An answer of the gateway's own, with a sentence for a person.
[[nodiscard]] CallerAnswer MakeOwnAnswer(unsigned status,
                                         std::string_view message);

/// An answer that promises that the request has not run; the caller may come
/// back after `retry_after`.
[[nodiscard]] CallerAnswer MakeNotRunAnswer(Milliseconds retry_after,
                                            std::string_view message);

/// One request of a caller with all that was decided when it was taken.
struct CallerCall {
  std::string m_request_id;
  std::string m_method;
  /// Request line and the fields that every upstream gets, each line ended.
  std::string m_forwarded_head;
  /// Null for no body.
  std::shared_ptr<const std::string> m_body;
  /// Keeps the route alive.
  RouteTablePtr m_table;
  const Route* m_route = nullptr;
  TimePoint m_arrived_at{};
  /// The final answer is due; the earlier of the caller's and the route's time.
  TimePoint m_final_at{};
  /// Time that the caller had spent on earlier attempts, as far as is known.
  Duration m_spent_before{};

  [[nodiscard]] bool IsIdempotent() const {
    return m_route->m_repeatability == Repeatability::kIdempotent ||
           m_route->IsScattered();
  }
};

/// The head of the call for one upstream, as of now.
[[nodiscard]] std::string MakeUpstreamHead(const CallerCall& call,
                                           const HeaderNames& headers,
                                           const std::string& upstream_id,
                                           TimePoint now);

/// Builds the part of the head that every upstream gets: fields that concern
/// one connection, or that the gateway sets itself, are left out.
[[nodiscard]] std::string MakeForwardedHead(const CallerMessage& message,
                                            const HeaderNames& headers);

/// True for fields that concern one connection only; `nominated` is the value
/// of the Connection field.
[[nodiscard]] bool IsHopField(std::string_view name,
                              std::string_view nominated);

}  // namespace jackdawrack
