#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include "tool/check_command.h"
#include "tool/http_call.h"
#include "tool/uuid.h"

namespace {

namespace json = boost::json;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadUse = 2;
constexpr jackdawrack::Milliseconds kCallTimeout{65'000};

/// What the subcommands that talk to an instance are given.
struct CallOptions {
  std::string m_at;
  std::string m_customer;
  std::string m_kind;
  std::string m_key;
  std::string m_body;
};

// Sends a request to an instance, prints the reply, gives the exit code.
int PrintCall(const std::string& at, jackdawrack::HttpRequest request) {
  const auto endpoint = jackdawrack::Endpoint::Parse(at);
  if (!endpoint) {
    fmt::print(stderr, "--at: accepted is IP:PORT\n");
    return kExitBadUse;
  }
  const auto reply =
      jackdawrack::CallHttp(*endpoint, std::move(request), kCallTimeout);
  if (!reply) {
    fmt::print(stderr, "{}: {}\n", at, reply.error().m_message);
    return kExitFailed;
  }
  fmt::print("{}\n", reply.assume_value().m_body);
  return reply.assume_value().m_status == 200 ? kExitOk : kExitFailed;
}

jackdawrack::HttpRequest MakeGet(const std::string& target) {
  jackdawrack::HttpRequest request;
  request.m_target = target;
  return request;
}

jackdawrack::HttpRequest MakePost(const std::string& target,
                                  const json::object& body) {
  jackdawrack::HttpRequest request;
  request.m_method = "POST";
  request.m_target = target;
  request.m_body = json::serialize(body);
  return request;
}

int RunQuery(const CallOptions& options) {
  return PrintCall(options.m_at,
                   MakePost("/v1/query", {{"customer", options.m_customer},
                                          {"kind", options.m_kind},
                                          {"body", options.m_body}}));
}

int RunRequest(const CallOptions& options) {
  auto request = MakePost("/v1/request", {{"customer", options.m_customer},
                                          {"kind", options.m_kind},
                                          {"key", options.m_key},
                                          {"body", options.m_body}});
  request.m_headers.push_back(
      {"Idempotency-Key",
       jackdawrack::MakeUuidV7(jackdawrack::SteadyClock().WallNowMs())});
  return PrintCall(options.m_at, std::move(request));
}

void AddCallOptions(CLI::App& command, CallOptions& options) {
  command.add_option("--at", options.m_at, "IP:PORT of the callers' listener")
      ->required();
  command.add_option("--customer", options.m_customer, "customer")->required();
  command.add_option("--kind", options.m_kind, "kind of request")->required();
  command.add_option("--body", options.m_body, "body, passed on as it is");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "jackdawrack: the operators' command. It changes nothing.\n"
      "Exit codes: 0 done, 1 failed or problems found, 2 bad use."};
  app.set_version_flag("--version", JACKDAWRACK_VERSION);
  app.require_subcommand(1);

  std::vector<std::string> files;
  CLI::App* check = app.add_subcommand(
      "check", "check settings, contracts, maps and instance lists");
  check->add_option("files", files, "INI files")->required();

  CallOptions options;
  CLI::App* query = app.add_subcommand("query", "send one query");
  AddCallOptions(*query, options);
  CLI::App* request =
      app.add_subcommand("request", "send one non-idempotent request");
  AddCallOptions(*request, options);
  request->add_option("--key", options.m_key, "key of the shard")->required();
  CLI::App* status = app.add_subcommand("status", "show an instance's status");
  CLI::App* contracts =
      app.add_subcommand("contracts", "show the contracts in force");
  for (CLI::App* command : {status, contracts}) {
    command
        ->add_option("--at", options.m_at, "IP:PORT of the operators' listener")
        ->required();
  }

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitBadUse;
  }
  if (check->parsed()) {
    return jackdawrack::RunCheck(files) == 0 ? kExitOk : kExitFailed;
  }
  if (query->parsed()) {
    return RunQuery(options);
  }
  if (request->parsed()) {
    return RunRequest(options);
  }
  return PrintCall(options.m_at,
                   MakeGet(status->parsed() ? "/v1/status" : "/v1/contracts"));
}
