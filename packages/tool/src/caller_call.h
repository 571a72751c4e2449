#pragma once

#include <boost/json.hpp>
#include <string>

#include "net/http_message.h"
#include "tool/exit_code.h"

namespace jackdawrack {

/// A POST with a JSON body.
[[nodiscard]] HttpRequest MakePost(const std::string& target,
                                   const boost::json::object& body);

/// Sends a caller's request, prints the reply, and says whether it was 200.
[[nodiscard]] ExitCode PrintCall(const std::string& at, HttpRequest request);

}  // namespace jackdawrack
