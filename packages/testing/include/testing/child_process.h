#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace jackdawrack {

/// One process that a test started; killed with the object, and by the kernel
/// if the test dies.
class ChildProcess final {
 public:
  /// Starts `program` with its standard error in `log_path`.
  ChildProcess(std::string program,
               std::vector<std::string> arguments,
               const std::string& log_path);
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends a signal.
  void Signal(int number) const;

  /// Waits for the end; the exit code, or -1 if killed or not ended in time.
  int WaitExit(int timeout_ms);

  /// Kills it at once and reaps it.
  void Kill();

  /// True if it has ended by itself; reaps it then.
  [[nodiscard]] bool HasEnded();

  /// True until it was seen to end.
  [[nodiscard]] bool IsRunning() const { return m_pid > 0; }
  [[nodiscard]] pid_t Pid() const { return m_pid; }

  /// How it ended: the exit code, or the negative number of the signal; nothing
  /// before it was seen to end.
  [[nodiscard]] std::optional<int> EndStatus() const { return m_end_status; }

 private:
  bool Reap(int options);

  pid_t m_pid = -1;
  std::optional<int> m_end_status;
};

}  // namespace jackdawrack
