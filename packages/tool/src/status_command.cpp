#include "tool/status_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>

#include "endpoint_option.h"
#include "net/json.h"
#include "tool/instance_reading.h"
#include "tool/text_table.h"

namespace jackdawrack {
namespace {

namespace json = boost::json;

std::string YesNo(const json::object& status, const char* name) {
  const json::value* value = status.if_contains(name);
  return value != nullptr && value->is_bool() && value->as_bool() ? "yes"
                                                                  : "no";
}

// "portal r1 v7, billing r1 v7"
std::string Collections(const json::object& status) {
  std::string text;
  const json::value* list = status.if_contains("collections");
  if (list == nullptr || !list->is_array()) {
    return text;
  }
  for (const json::value& item : list->as_array()) {
    const json::object* collection = item.if_object();
    if (collection != nullptr) {
      text += fmt::format("{}{} r{} v{}", text.empty() ? "" : ", ",
                          JsonText(*collection, "name"),
                          JsonNumber(*collection, "revision"),
                          JsonNumber(*collection, "index_version"));
    }
  }
  return text;
}

// Names of values of which two texts of one version were seen.
std::string Conflicts(const json::object& status) {
  const json::value* config = status.if_contains("config");
  const json::object* object =
      config == nullptr ? nullptr : config->if_object();
  const json::value* values =
      object == nullptr ? nullptr : object->if_contains("values");
  std::string text;
  if (values == nullptr || !values->is_array()) {
    return "-";
  }
  for (const json::value& item : values->as_array()) {
    const json::object* value = item.if_object();
    if (value != nullptr && YesNo(*value, "conflict") == "yes") {
      text += (text.empty() ? "" : ", ") + JsonText(*value, "name");
    }
  }
  return text.empty() ? "none" : text;
}

std::size_t CountInstances(const json::object& status) {
  const json::value* list = status.if_contains("instances");
  if (list == nullptr) {
    return JsonNumber(status, "known_instances");
  }
  return list != nullptr && list->is_array() ? list->as_array().size() : 0;
}

void AddRow(TextTable& table, InstanceReading& reading) {
  const auto status = ParseJsonObject(reading.m_body);
  if (!status) {
    reading.m_is_read = false;
    reading.m_problem = "the status is not a JSON object";
    return;
  }
  table.AddRow({reading.m_endpoint.ToText(), JsonText(*status, "instance"),
                JsonText(*status, "failure_domain"),
                JsonText(*status, "version"), YesNo(*status, "ready"),
                YesNo(*status, "stopping"),
                fmt::format("{}", JsonNumber(*status, "config_age_ms")),
                fmt::format("{}", CountInstances(*status)), Conflicts(*status),
                Collections(*status)});
}

}  // namespace

void StatusCommand::Declare(CLI::App& app) {
  CLI::App* command =
      app.add_subcommand(kName, "Shows the status of instances.");
  command->footer(
      "Example:\n"
      "  jackdawrack status --at 127.0.0.1:21300 --at 127.0.0.1:21301\n"
      "Columns: config age in ms; sees: instances in its list; conflicts: "
      "values "
      "published with two texts under one version; r: revision and v: index "
      "version of each map.\n"
      "Exit codes: 0 all were read, 1 one could not be read, 2 bad use.");
  DeclareInstances(*command, m_at);
}

ExitCode StatusCommand::Run() {
  std::vector<InstanceReading> readings =
      ReadInstances(ToEndpoints(m_at), "/v1/status");
  TextTable table({"at", "instance", "failure domain", "version", "ready",
                   "stopping", "config age", "sees", "conflicts",
                   "collections"});
  for (InstanceReading& reading : readings) {
    if (reading.m_is_read) {
      AddRow(table, reading);
    }
  }
  fmt::print("{}", table.ToText());
  return ReportUnread(readings) == 0 ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace jackdawrack
