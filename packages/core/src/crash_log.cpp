#include "core/crash_log.h"

#include <dlfcn.h>
#include <execinfo.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>

#include "core/event.h"
#include "core/exception_log.h"

namespace jackdawrack {
namespace {

constexpr std::array kFatalSignals = {SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGILL};

constexpr std::size_t kMaxFrames = 32;
constexpr std::size_t kMaxTextBytes = 1'024;

/// Enough for the handler of a stack overflow.
constexpr std::size_t kSignalStackBytes = 64 << 10;

constexpr std::uintptr_t kMaxProgramBytes = 1 << 30;

using Frames = std::array<void*, kMaxFrames>;

/// Address at which the program is loaded.
std::uintptr_t g_program_start = 0;

// The addresses of the call stack relative to the start of the program, as
// addr2line takes them; those of libraries are left out.
void AppendFrames(fmt::basic_memory_buffer<char, kMaxTextBytes>& text) {
  Frames frames{};
  const int count = backtrace(frames.data(), static_cast<int>(frames.size()));
  for (int index = 0; index < count; ++index) {
    const auto frame = reinterpret_cast<std::uintptr_t>(
        frames[static_cast<std::size_t>(index)]);
    if (frame >= g_program_start &&
        frame - g_program_start < kMaxProgramBytes) {
      fmt::format_to(fmt::appender(text), " {:#x}", frame - g_program_start);
    }
  }
}

extern "C" void OnFatalSignal(int signal) {
  fmt::basic_memory_buffer<char, kMaxTextBytes> text;
  fmt::format_to(fmt::appender(text), "signal={} frames=\"", signal);
  AppendFrames(text);
  text.push_back('"');
  WriteLastEvent(EventId::kProcessCrashed,
                 std::string_view(text.data(), text.size()));

  // The handler was reset when it was called, so that this ends the process
  raise(signal);
}

[[noreturn]] void OnTerminate() {
  if (const auto failure = std::current_exception()) {
    LogEvent(EventId::kUncaughtException, "reason=\"{}\"",
             DescribeException(failure));
  }
  std::abort();
}

}  // namespace

void InstallCrashLog() {
  std::set_terminate(OnTerminate);
  Dl_info program{};
  if (dladdr(reinterpret_cast<void*>(&InstallCrashLog), &program) != 0) {
    g_program_start = reinterpret_cast<std::uintptr_t>(program.dli_fbase);
  }

  // The first call loads a library, which a signal handler must not do
  Frames frames{};
  backtrace(frames.data(), static_cast<int>(frames.size()));

  static std::array<char, kSignalStackBytes> signal_stack;
  stack_t stack{};
  stack.ss_sp = signal_stack.data();
  stack.ss_size = signal_stack.size();
  sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_handler = OnFatalSignal;
  action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND | SA_NODEFER);
  for (const int signal : kFatalSignals) {
    sigaction(signal, &action, nullptr);
  }
}

}  // namespace jackdawrack
