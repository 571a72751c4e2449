#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "model/endpoint.h"

namespace jackdawrack {

/// Accepts IP:PORT; the message names what is accepted.
[[nodiscard]] CLI::Validator EndpointValidator();

/// Declares `--at`, required and repeatable, for operators' listeners.
CLI::Option* DeclareInstances(CLI::App& command, std::vector<std::string>& at);

/// The endpoints of texts that `EndpointValidator` has accepted.
[[nodiscard]] std::vector<Endpoint> ToEndpoints(
    const std::vector<std::string>& texts);

}  // namespace jackdawrack
