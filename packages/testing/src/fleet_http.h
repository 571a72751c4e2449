#pragma once

#include <string>

#include "tool/http_call.h"

namespace jackdawrack {

/// Bound of a call to an operators' listener or a stand-in.
constexpr Milliseconds kControlCallTimeout{5000};

/// A POST of JSON.
[[nodiscard]] HttpRequest MakePost(const std::string& target, std::string body);

/// The reply, or one of status 0 that names the error if none came.
[[nodiscard]] HttpReply CallOrZero(const Endpoint& endpoint,
                                   HttpRequest request,
                                   Milliseconds timeout);

/// Calls a stand-in's control interface, again while its connections are all
/// taken; throws if it stays so.
HttpReply CallControl(const Endpoint& endpoint, const HttpRequest& request);

}  // namespace jackdawrack
