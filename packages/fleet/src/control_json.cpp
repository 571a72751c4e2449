#include "control_json.h"

namespace jackdawrack {
namespace {

// Limit on the length of each list in a received message.
constexpr Json::ArrayIndex kMaxListItems = 100'000;

// Reads the members of a JSON object. After the first malformed member the
// reader stays invalid, so callers check validity once at the end. Missing
// members read as 0, empty text or an empty list.
class JsonObjectReader final {
 public:
  explicit JsonObjectReader(const Json::Value& json) : m_json(json) {
    m_is_valid = json.isObject();
  }

  std::uint64_t ReadNumber(const char* name) {
    return m_is_valid && m_json.isMember(name) ? ConvertToNumber(m_json[name])
                                               : 0;
  }

  std::string ReadText(const char* name) {
    return m_is_valid && m_json.isMember(name) ? ConvertToText(m_json[name])
                                               : std::string();
  }

  template <typename Handler>
  void ForEach(const char* name, const Handler& handler) {
    if (!m_is_valid || !m_json.isMember(name)) {
      return;
    }
    const Json::Value& list = m_json[name];
    if (!list.isArray() || list.size() > kMaxListItems) {
      m_is_valid = false;
      return;
    }
    for (const Json::Value& item : list) {
      handler(item);
    }
  }

  std::uint64_t ConvertToNumber(const Json::Value& value) {
    if (!value.isUInt64()) {
      m_is_valid = false;
      return 0;
    }
    return value.asUInt64();
  }

  std::string ConvertToText(const Json::Value& value) {
    if (!value.isString()) {
      m_is_valid = false;
      return {};
    }
    return value.asString();
  }

  void Require(bool condition) { m_is_valid = m_is_valid && condition; }

  [[nodiscard]] bool IsValid() const { return m_is_valid; }

 private:
  const Json::Value& m_json;
  bool m_is_valid = true;
};

Json::Value ToJson(const MemberStatus& status) {
  Json::Value json(Json::objectValue);
  json["id"] = status.m_instance.Text();
  json["state"] = static_cast<Json::UInt64>(status.m_state);
  json["inc"] = static_cast<Json::UInt64>(status.m_incarnation);
  return json;
}

Json::Value ToJson(const PublishedValue& value) {
  Json::Value json(Json::objectValue);
  json["name"] = value.m_name;
  json["rev"] = static_cast<Json::UInt64>(value.m_revision);
  json["gen"] = static_cast<Json::UInt64>(value.m_generation);
  json["text"] = value.m_text;
  return json;
}

Json::Value ToJson(const ValueDigest& digest) {
  Json::Value json(Json::objectValue);
  json["name"] = digest.m_name;
  json["version"] = static_cast<Json::UInt64>(digest.m_rank.m_version);
  json["hash"] = static_cast<Json::UInt64>(digest.m_rank.m_text_hash);
  return json;
}

Json::Value ToJson(const std::string& text) {
  return {text};
}

Json::Value ToJson(std::uint32_t number) {
  return {static_cast<Json::UInt64>(number)};
}

template <typename Item>
void SetNonEmptyList(Json::Value& json,
                     const char* name,
                     const std::vector<Item>& items) {
  if (items.empty()) {
    return;
  }
  Json::Value& list = json[name] = Json::Value(Json::arrayValue);
  for (const Item& item : items) {
    list.append(ToJson(item));
  }
}

MemberStatus ReadMemberStatus(const Json::Value& json,
                              JsonObjectReader& parent) {
  JsonObjectReader reader(json);
  MemberStatus status;
  status.m_instance = InstanceId(reader.ReadText("id"));
  const std::uint64_t state = reader.ReadNumber("state");
  reader.Require(state <= static_cast<std::uint64_t>(MemberState::kLeaving));
  status.m_state = static_cast<MemberState>(state);
  status.m_incarnation = reader.ReadNumber("inc");
  parent.Require(reader.IsValid());
  return status;
}

PublishedValue ReadValue(const Json::Value& json, JsonObjectReader& parent) {
  JsonObjectReader reader(json);
  PublishedValue value;
  value.m_name = reader.ReadText("name");
  value.m_revision = reader.ReadNumber("rev");
  value.m_generation = reader.ReadNumber("gen");
  value.m_text = reader.ReadText("text");
  parent.Require(reader.IsValid());
  return value;
}

ValueDigest ReadDigest(const Json::Value& json, JsonObjectReader& parent) {
  JsonObjectReader reader(json);
  ValueDigest digest;
  digest.m_name = reader.ReadText("name");
  digest.m_rank.m_version = reader.ReadNumber("version");
  digest.m_rank.m_text_hash = reader.ReadNumber("hash");
  parent.Require(reader.IsValid());
  return digest;
}

}  // namespace

Json::Value ControlToJson(const ControlMessage& message) {
  Json::Value json(Json::objectValue);
  json["kind"] = static_cast<Json::UInt64>(message.m_kind);
  json["sender"] = ToJson(message.m_sender);
  json["root"] = static_cast<Json::UInt64>(message.m_root_hash);
  if (message.m_has_config_age) {
    json["age_ms"] = static_cast<Json::UInt64>(message.m_config_age_ms);
  }
  if (!message.m_tree_root.IsEmpty()) {
    json["tree"] = message.m_tree_root.Text();
  }
  if (!message.m_probe_target.IsEmpty()) {
    json["probe"] = message.m_probe_target.Text();
  }
  if (message.m_has_more) {
    json["more"] = true;
  }
  SetNonEmptyList(json, "notices", message.m_member_statuses);
  SetNonEmptyList(json, "values", message.m_values);
  SetNonEmptyList(json, "buckets", message.m_bucket_hashes);
  SetNonEmptyList(json, "compared", message.m_compared_buckets);
  SetNonEmptyList(json, "digests", message.m_digests);
  SetNonEmptyList(json, "wanted", message.m_requested_names);
  return json;
}

std::optional<ControlMessage> ControlFromJson(const Json::Value& json) {
  JsonObjectReader reader(json);
  if (!reader.IsValid()) {
    return std::nullopt;
  }
  ControlMessage message;
  const std::uint64_t kind = reader.ReadNumber("kind");
  reader.Require(kind <= static_cast<std::uint64_t>(ControlKind::kValues));
  message.m_kind = static_cast<ControlKind>(kind);
  message.m_sender = ReadMemberStatus(json["sender"], reader);
  message.m_root_hash = reader.ReadNumber("root");
  message.m_has_config_age = json.isMember("age_ms");
  message.m_config_age_ms = reader.ReadNumber("age_ms");
  message.m_tree_root = InstanceId(reader.ReadText("tree"));
  message.m_probe_target = InstanceId(reader.ReadText("probe"));
  message.m_has_more = json.isMember("more");
  reader.ForEach("notices", [&](const Json::Value& item) {
    message.m_member_statuses.push_back(ReadMemberStatus(item, reader));
  });
  reader.ForEach("values", [&](const Json::Value& item) {
    message.m_values.push_back(ReadValue(item, reader));
  });
  reader.ForEach("buckets", [&](const Json::Value& item) {
    message.m_bucket_hashes.push_back(
        static_cast<std::uint32_t>(reader.ConvertToNumber(item)));
  });
  reader.ForEach("compared", [&](const Json::Value& item) {
    message.m_compared_buckets.push_back(
        static_cast<std::uint32_t>(reader.ConvertToNumber(item)));
  });
  reader.ForEach("digests", [&](const Json::Value& item) {
    message.m_digests.push_back(ReadDigest(item, reader));
  });
  reader.ForEach("wanted", [&](const Json::Value& item) {
    message.m_requested_names.push_back(reader.ConvertToText(item));
  });
  if (!reader.IsValid()) {
    return std::nullopt;
  }
  return message;
}

}  // namespace jackdawrack
