#include "standin/proxy_control_codec.h"

#include "net/json.h"

namespace jackdawrack {
namespace {

namespace json = boost::json;

// Members of an array of objects, or nothing.
std::vector<json::object> Objects(const json::object& object,
                                  const char* name) {
  std::vector<json::object> objects;
  const json::value* list = object.if_contains(name);
  if (list == nullptr || !list->is_array()) {
    return objects;
  }
  for (const json::value& item : list->as_array()) {
    if (item.is_object()) {
      objects.push_back(item.as_object());
    }
  }
  return objects;
}

}  // namespace

json::object EncodeLinks(const std::vector<ProxyLink>& links) {
  json::array list;
  for (const ProxyLink& link : links) {
    list.push_back(json::object{{"name", link.m_name},
                                {"kind", link.m_kind},
                                {"domain", link.m_domain},
                                {"listen", link.m_listen.ToText()},
                                {"target", link.m_target.ToText()}});
  }
  return json::object{{"links", std::move(list)}};
}

std::vector<ProxyLink> DecodeLinks(const json::object& object) {
  std::vector<ProxyLink> links;
  for (const json::object& item : Objects(object, "links")) {
    const auto listen = Endpoint::Parse(JsonText(item, "listen"));
    const auto target = Endpoint::Parse(JsonText(item, "target"));
    if (listen && target) {
      links.push_back(ProxyLink{JsonText(item, "name"), JsonText(item, "kind"),
                                JsonText(item, "domain"), *listen, *target});
    }
  }
  return links;
}

json::object EncodeMatch(const ProxyMatch& match) {
  return json::object{{"source", match.m_source},
                      {"link", match.m_link},
                      {"kind", match.m_kind},
                      {"domain", match.m_domain}};
}

ProxyMatch DecodeMatch(const json::object& object) {
  return ProxyMatch{JsonText(object, "source"), JsonText(object, "link"),
                    JsonText(object, "kind"), JsonText(object, "domain")};
}

json::object EncodeRules(const std::vector<FaultRule>& rules) {
  json::array list;
  for (const FaultRule& rule : rules) {
    json::object item = EncodeMatch(rule.m_match);
    item["fault"] = static_cast<std::uint64_t>(rule.m_fault);
    item["delay_ms"] = rule.m_delay.count();
    item["jitter_ms"] = rule.m_jitter.count();
    item["stalls_per_mille"] = rule.m_stalls_per_mille;
    item["shuffled_per_mille"] = rule.m_shuffled_per_mille;
    list.push_back(std::move(item));
  }
  return json::object{{"rules", std::move(list)}};
}

std::vector<FaultRule> DecodeRules(const json::object& object) {
  std::vector<FaultRule> rules;
  for (const json::object& item : Objects(object, "rules")) {
    FaultRule rule;
    rule.m_match = DecodeMatch(item);
    rule.m_fault = static_cast<ProxyFault>(JsonNumber(item, "fault"));
    rule.m_delay = Milliseconds(JsonNumber(item, "delay_ms"));
    rule.m_jitter = Milliseconds(JsonNumber(item, "jitter_ms"));
    rule.m_stalls_per_mille =
        static_cast<std::uint32_t>(JsonNumber(item, "stalls_per_mille"));
    rule.m_shuffled_per_mille =
        static_cast<std::uint32_t>(JsonNumber(item, "shuffled_per_mille"));
    rules.push_back(rule);
  }
  return rules;
}

}  // namespace jackdawrack
