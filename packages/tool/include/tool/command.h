#pragma once

#include <concepts>
#include <string>

#include "tool/exit_code.h"

namespace CLI {
class App;
}  // namespace CLI

namespace jackdawrack {

/// One subcommand: declares its options, and runs once they are filled in.
/// The object has to outlive the parse, since the options point into it.
template <typename T>
concept Command = requires(T& command, CLI::App& app) {
  { T::kName } -> std::convertible_to<const char*>;
  { command.Declare(app) } -> std::same_as<void>;
  { command.Run() } -> std::same_as<ExitCode>;
};

}  // namespace jackdawrack
