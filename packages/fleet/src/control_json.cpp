#include "control_json.h"

namespace jackdawrack {
namespace {

// Limit on the length of each list in a received message.
constexpr Json::ArrayIndex kMaxItems = 100'000;

// Reads the members of a JSON object. After the first malformed member the
// reader stays invalid, so callers check validity once at the end. Missing
// members read as 0, empty text or an empty list.
class Reader final {
 public:
  explicit Reader(const Json::Value& json) : m_json(json) {
    m_is_good = json.isObject();
  }

  std::uint64_t Number(const char* name) {
    return m_is_good && m_json.isMember(name) ? AsNumber(m_json[name]) : 0;
  }

  std::string Text(const char* name) {
    return m_is_good && m_json.isMember(name) ? AsText(m_json[name])
                                              : std::string();
  }

  template <typename Handler>
  void ForEach(const char* name, const Handler& handler) {
    if (!m_is_good || !m_json.isMember(name)) {
      return;
    }
    const Json::Value& list = m_json[name];
    if (!list.isArray() || list.size() > kMaxItems) {
      m_is_good = false;
      return;
    }
    for (const Json::Value& item : list) {
      handler(item);
    }
  }

  std::uint64_t AsNumber(const Json::Value& value) {
    if (!value.isUInt64()) {
      m_is_good = false;
      return 0;
    }
    return value.asUInt64();
  }

  std::string AsText(const Json::Value& value) {
    if (!value.isString()) {
      m_is_good = false;
      return {};
    }
    return value.asString();
  }

  void Require(bool condition) { m_is_good = m_is_good && condition; }

  [[nodiscard]] bool IsGood() const { return m_is_good; }

 private:
  const Json::Value& m_json;
  bool m_is_good = true;
};

Json::Value ToJson(const MemberStatus& notice) {
  Json::Value json(Json::objectValue);
  json["id"] = notice.m_instance.Text();
  json["state"] = static_cast<Json::UInt64>(notice.m_state);
  json["inc"] = static_cast<Json::UInt64>(notice.m_incarnation);
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
void PutList(Json::Value& json,
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

MemberStatus ReadNotice(const Json::Value& json, Reader& parent) {
  Reader reader(json);
  MemberStatus notice;
  notice.m_instance = InstanceId(reader.Text("id"));
  const std::uint64_t state = reader.Number("state");
  reader.Require(state <= static_cast<std::uint64_t>(MemberState::kLeaving));
  notice.m_state = static_cast<MemberState>(state);
  notice.m_incarnation = reader.Number("inc");
  parent.Require(reader.IsGood());
  return notice;
}

PublishedValue ReadValue(const Json::Value& json, Reader& parent) {
  Reader reader(json);
  PublishedValue value;
  value.m_name = reader.Text("name");
  value.m_revision = reader.Number("rev");
  value.m_generation = reader.Number("gen");
  value.m_text = reader.Text("text");
  parent.Require(reader.IsGood());
  return value;
}

ValueDigest ReadDigest(const Json::Value& json, Reader& parent) {
  Reader reader(json);
  ValueDigest digest;
  digest.m_name = reader.Text("name");
  digest.m_rank.m_version = reader.Number("version");
  digest.m_rank.m_text_hash = reader.Number("hash");
  parent.Require(reader.IsGood());
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
  PutList(json, "notices", message.m_member_statuses);
  PutList(json, "values", message.m_values);
  PutList(json, "buckets", message.m_bucket_hashes);
  PutList(json, "compared", message.m_compared_buckets);
  PutList(json, "digests", message.m_digests);
  PutList(json, "wanted", message.m_requested_names);
  return json;
}

std::optional<ControlMessage> ControlFromJson(const Json::Value& json) {
  Reader reader(json);
  if (!reader.IsGood()) {
    return std::nullopt;
  }
  ControlMessage message;
  const std::uint64_t kind = reader.Number("kind");
  reader.Require(kind <= static_cast<std::uint64_t>(ControlKind::kValues));
  message.m_kind = static_cast<ControlKind>(kind);
  message.m_sender = ReadNotice(json["sender"], reader);
  message.m_root_hash = reader.Number("root");
  message.m_has_config_age = json.isMember("age_ms");
  message.m_config_age_ms = reader.Number("age_ms");
  message.m_tree_root = InstanceId(reader.Text("tree"));
  message.m_probe_target = InstanceId(reader.Text("probe"));
  message.m_has_more = json.isMember("more");
  reader.ForEach("notices", [&](const Json::Value& item) {
    message.m_member_statuses.push_back(ReadNotice(item, reader));
  });
  reader.ForEach("values", [&](const Json::Value& item) {
    message.m_values.push_back(ReadValue(item, reader));
  });
  reader.ForEach("buckets", [&](const Json::Value& item) {
    message.m_bucket_hashes.push_back(
        static_cast<std::uint32_t>(reader.AsNumber(item)));
  });
  reader.ForEach("compared", [&](const Json::Value& item) {
    message.m_compared_buckets.push_back(
        static_cast<std::uint32_t>(reader.AsNumber(item)));
  });
  reader.ForEach("digests", [&](const Json::Value& item) {
    message.m_digests.push_back(ReadDigest(item, reader));
  });
  reader.ForEach("wanted", [&](const Json::Value& item) {
    message.m_requested_names.push_back(reader.AsText(item));
  });
  if (!reader.IsGood()) {
    return std::nullopt;
  }
  return message;
}

}  // namespace jackdawrack
