#pragma once

#include "core/clock.h"
#include "model/endpoint.h"
#include "net/http_message.h"
#include "net/net_error.h"

namespace jackdawrack {

/// Sends one request and blocks until its reply or `timeout`.
[[nodiscard]] NetResult<HttpReply> CallHttp(const Endpoint& endpoint,
                                            HttpRequest request,
                                            Milliseconds timeout);

}  // namespace jackdawrack
