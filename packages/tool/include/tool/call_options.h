#pragma once

#include <string>

namespace CLI {
class App;
}  // namespace CLI

namespace jackdawrack {

/// What the subcommands that send one caller's request are given.
struct CallOptions {
  /// IP:PORT of an instance's callers' listener.
  std::string m_at;
  std::string m_customer;
  std::string m_kind;
  std::string m_body;

  /// Declares the options on a subcommand.
  void Declare(CLI::App& command);
};

}  // namespace jackdawrack
