#include "core/worker_pool.h"

#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <stdexcept>

namespace jackdawrack {
namespace {

constexpr std::chrono::seconds kWait{5};
constexpr int kExitServed = 0;
constexpr int kExitStuck = 1;

// Runs a handler that throws and returns whether a later one still runs.
int RunHandlers() {
  WorkerPool workers(1);
  workers.Start();
  boost::asio::post(workers.Context(), [] { throw std::runtime_error("a"); });
  std::promise<void> has_run;
  boost::asio::post(workers.Context(), [&has_run] { has_run.set_value(); });
  const bool is_served =
      has_run.get_future().wait_for(kWait) == std::future_status::ready;
  return is_served ? kExitServed : kExitStuck;
}

// A handler that threw on a worker ended the process of the classic daemon.
TEST_CASE("a handler that throws on a worker does not end the process") {
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    _exit(RunHandlers());
  }
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  REQUIRE(WIFEXITED(status));
  REQUIRE(WEXITSTATUS(status) == kExitServed);
}

}  // namespace
}  // namespace jackdawrack
