#include "tool/explain_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>

#include "endpoint_option.h"
#include "model/request_id.h"
#include "net/json.h"
#include "tool/instance_reading.h"
#include "tool/request_lines.h"
#include "tool/text_table.h"

namespace jackdawrack {
namespace {

namespace json = boost::json;

double NumberOf(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  boost::system::error_code error;
  return value == nullptr ? 0 : value->to_number<double>(error);
}

// What the count of a step counts.
std::string Detail(const json::object& step) {
  const std::string name = JsonText(step, "step");
  const std::uint64_t count = JsonNumber(step, "count");
  if (name == "planned") {
    return fmt::format("{} owners, index version {}", count,
                       JsonNumber(step, "index_version"));
  }
  if (name == "restarted") {
    return fmt::format("on index version {}",
                       JsonNumber(step, "index_version"));
  }
  if (name == "finished") {
    return fmt::format("{} ranges missing", count);
  }
  const std::string note = JsonText(step, "note");
  if (!note.empty()) {
    return note;
  }
  const std::string reason = JsonText(step, "reason");
  if (name == "answered" && reason != "none") {
    return fmt::format("{} ranges missed: {}", count, reason);
  }
  return fmt::format("{} ranges", count);
}

// True if the id stands for itself in the path of a URL.
bool IsPathSafe(const std::string& request) {
  return std::all_of(request.begin(), request.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

void PrintTrace(const std::string& at, const json::object& trace) {
  fmt::print("request {} taken at {}: customer {}, kind {}, outcome {}\n",
             JsonText(trace, "request"), at, JsonText(trace, "customer"),
             JsonText(trace, "kind"), JsonText(trace, "outcome"));
  TextTable table({"ms", "step", "owner", "detail"});
  const json::value* steps = trace.if_contains("steps");
  if (steps != nullptr && steps->is_array()) {
    for (const json::value& item : steps->as_array()) {
      const json::object* object = item.if_object();
      if (object == nullptr) {
        continue;
      }
      const json::object& step = *object;
      table.AddRow({fmt::format("{:.3f}", NumberOf(step, "at_ms")),
                    JsonText(step, "step"), JsonText(step, "owner"),
                    Detail(step)});
    }
  }
  fmt::print("{}", table.ToText());
  const std::uint64_t dropped = JsonNumber(trace, "dropped_steps");
  if (dropped > 0) {
    fmt::print("{} further steps were not kept\n", dropped);
  }
}

}  // namespace

void ExplainCommand::Declare(CLI::App& app) {
  CLI::App* command = app.add_subcommand(
      kName, "Shows what was tried for a request, where, when and why.");
  command->footer(
      "Example:\n"
      "  jackdawrack explain 8f3a1c22d4e5f607-1a --at 127.0.0.1:21300\n"
      "  jackdawrack explain 9c41d07be2a35f68 --log east-1.log west-1.log\n"
      "The id is the member 'request' of an answer, or the request id that the "
      "caller sent. Name the instance that took the request, or all of them, "
      "or the files that hold their logs.\n"
      "Exit codes: 0 found, 1 not remembered or not read, 2 bad use.");
  command->add_option("request", m_request, "request id of an answer")
      ->required();
  CLI::Option* at = DeclareInstances(*command, m_at);
  at->required(false);
  command->add_option("--log", m_logs, "files with lines of instances")
      ->check(CLI::ExistingFile)
      ->excludes(at);
}

ExitCode ExplainCommand::Run() {
  return m_logs.empty() ? ExplainFromInstances() : ExplainFromLogs();
}

ExitCode ExplainCommand::ExplainFromLogs() const {
  const std::vector<std::string> lines = FindRequestLines(m_logs, m_request);
  for (const std::string& line : lines) {
    fmt::print("{}\n", line);
  }
  if (lines.empty()) {
    fmt::print(stderr,
               "no line of request {}: complete successes are sampled, and "
               "lines may have been left out (event 1009)\n",
               m_request);
  }
  return lines.empty() ? ExitCode::kFailed : ExitCode::kOk;
}

ExitCode ExplainCommand::ExplainFromInstances() {
  if (m_at.empty() || !IsPathSafe(m_request)) {
    fmt::print(stderr,
               "accepted is a request id of letters, digits, '-', '_' and '.' "
               "with --at, or any with --log\n");
    return ExitCode::kBadUse;
  }
  std::vector<InstanceReading> readings =
      ReadInstances(ToEndpoints(m_at), "/v1/explain/" + m_request);
  for (const InstanceReading& reading : readings) {
    const auto trace = ParseJsonObject(reading.m_body);
    if (reading.m_is_read && trace) {
      PrintTrace(reading.m_endpoint.ToText(), *trace);
      return ExitCode::kOk;
    }
  }
  ReportUnread(readings);
  return ExitCode::kFailed;
}

}  // namespace jackdawrack
