#include "endpoint_option.h"

#include "core/check.h"

namespace jackdawrack {

CLI::Validator EndpointValidator() {
  return CLI::Validator(
      [](const std::string& text) {
        return Endpoint::Parse(text)
                   ? std::string()
                   : "'" + text + "': accepted is IP:PORT, as 127.0.0.1:21300";
      },
      "IP:PORT");
}

CLI::Option* DeclareInstances(CLI::App& command, std::vector<std::string>& at) {
  return command
      .add_option("--at", at,
                  "IP:PORT of an instance's operators' listener; may be "
                  "repeated")
      ->required()
      ->check(EndpointValidator());
}

std::vector<Endpoint> ToEndpoints(const std::vector<std::string>& texts) {
  std::vector<Endpoint> endpoints;
  for (const std::string& text : texts) {
    const auto endpoint = Endpoint::Parse(text);
    JR_CHECK(endpoint.has_value());
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

}  // namespace jackdawrack
