#include "testing/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace jackdawrack {
namespace {

constexpr int kPollMs = 5;

[[noreturn]] void RunProgram(const std::string& program,
                             std::vector<char*>& argv,
                             const std::string& log_path) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // Ignored signals are inherited
  std::signal(SIGPIPE, SIG_DFL);
  const int log =
      open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(log, STDERR_FILENO);
  dup2(log, STDOUT_FILENO);
  execv(program.c_str(), argv.data());
  _exit(127);
}

}  // namespace

ChildProcess::ChildProcess(std::string program,
                           std::vector<std::string> arguments,
                           const std::string& log_path) {
  std::vector<char*> argv{program.data()};
  for (std::string& argument : arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  m_pid = fork();
  if (m_pid < 0) {
    throw std::runtime_error("cannot start " + program);
  }
  if (m_pid == 0) {
    RunProgram(program, argv, log_path);
  }
}

ChildProcess::~ChildProcess() {
  Kill();
}

void ChildProcess::Signal(int number) const {
  if (m_pid > 0) {
    kill(m_pid, number);
  }
}

int ChildProcess::WaitExit(int timeout_ms) {
  for (int waited = 0; m_pid > 0 && waited <= timeout_ms; waited += kPollMs) {
    if (Reap(WNOHANG)) {
      return std::max(*m_end_status, -1);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
  }
  return -1;
}

bool ChildProcess::HasEnded() {
  return m_pid < 0 || Reap(WNOHANG);
}

void ChildProcess::Kill() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    Reap(0);
  }
}

bool ChildProcess::Reap(int options) {
  int status = 0;
  if (waitpid(m_pid, &status, options) != m_pid) {
    return false;
  }
  m_pid = -1;
  m_end_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return true;
}

}  // namespace jackdawrack
