#include "tool/request_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>

#include "caller_call.h"
#include "core/clock.h"
#include "tool/uuid.h"

namespace jackdawrack {

void RequestCommand::Declare(CLI::App& app) {
  CLI::App* command = app.add_subcommand(
      kName, "Sends one non-idempotent request and prints its outcome.");
  command->footer(
      "Example:\n"
      "  jackdawrack request --at 127.0.0.1:21100 --customer alpenblick "
      "--kind booking --key lens-1 --body member-7\n"
      "Exit codes: 0 ran, 1 did not run or unknown (see the outcome), 2 bad "
      "use.");
  m_options.Declare(*command);
  command->add_option("--key", m_key, "key that names the shard")->required();
  command->add_option("--idempotency-key", m_idempotency_key,
                      "UUID of version 7, to resend a request; a fresh one if "
                      "not given");
}

ExitCode RequestCommand::Run() {
  if (m_idempotency_key.empty()) {
    m_idempotency_key = MakeUuidV7(SteadyClock().WallNowMs());
  }
  fmt::print(stderr, "idempotency key {}\n", m_idempotency_key);
  HttpRequest request =
      MakePost("/v1/request", {{"customer", m_options.m_customer},
                               {"kind", m_options.m_kind},
                               {"key", m_key},
                               {"body", m_options.m_body}});
  request.m_headers.push_back({"Idempotency-Key", m_idempotency_key});
  return PrintCall(m_options.m_at, std::move(request));
}

}  // namespace jackdawrack
