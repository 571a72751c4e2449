#pragma once

namespace jackdawrack {

/// What the operators' command tells the shell.
enum class ExitCode : int {
  /// Done, and nothing wrong was found.
  kOk = 0,
  /// Failed, an instance could not be read, or problems were found.
  kFailed = 1,
  /// The command line is wrong; what is accepted was printed.
  kBadUse = 2,
};

}  // namespace jackdawrack
