#include "tool/call_options.h"

#include <CLI/CLI.hpp>

#include "endpoint_option.h"

namespace jackdawrack {

void CallOptions::Declare(CLI::App& command) {
  command.add_option("--at", m_at, "IP:PORT of the callers' listener")
      ->required()
      ->check(EndpointValidator());
  command.add_option("--customer", m_customer, "customer named in a contract")
      ->required();
  command.add_option("--kind", m_kind, "kind of request named in the contract")
      ->required();
  command.add_option("--body", m_body, "body, passed on as it is");
}

}  // namespace jackdawrack
