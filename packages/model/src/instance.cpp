#include "model/instance.h"

#include <algorithm>

namespace jackdawrack {
namespace {

Instance ReadInstance(const std::string& file,
                      const IniSection& section,
                      std::vector<IniProblem>& problems) {
  IniSectionReader reader(file, section, problems);
  Instance instance;
  instance.m_id = InstanceId(section.m_name);
  instance.m_domain = FailureDomain(reader.Text("failure_domain"));
  if (const auto endpoint = Endpoint::Parse(reader.Text("peers"))) {
    instance.m_peer_endpoint = *endpoint;
  } else {
    reader.Refuse("peers", "accepted is IP:PORT");
  }
  const std::string state = reader.Text("state", "live");
  if (state != "live" && state != "leaving") {
    reader.Refuse("state", "accepted is live or leaving");
  }
  instance.m_state =
      state == "leaving" ? InstanceState::kLeaving : InstanceState::kLive;
  reader.RefuseUnknownKeys();
  return instance;
}

}  // namespace

std::vector<Instance> ParseInstanceList(const std::string& file,
                                        const std::string& text,
                                        std::vector<IniProblem>& problems) {
  const IniDocument document = IniDocument::Parse(file, text, problems);
  document.RefuseUnknownSections({"instance"}, problems);
  document.CheckNames({"instance"}, problems);
  std::vector<Instance> instances;
  for (const IniSection* section : document.All("instance")) {
    instances.push_back(ReadInstance(file, *section, problems));
  }
  std::sort(instances.begin(), instances.end());
  return instances;
}

}  // namespace jackdawrack
