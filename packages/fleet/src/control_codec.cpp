#include "fleet/control_codec.h"

#include <memory>

#include "control_json.h"

namespace jackdawrack {

std::string EncodeControlRequest(const ControlMessage& message) {
  Json::Value request(Json::objectValue);
  request["jsonrpc"] = "2.0";
  request["id"] = 1;
  request["method"] = kExchangeMethod;
  request["params"]["message"] = ControlToJson(message);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, request);
}

std::optional<ControlMessage> DecodeControlReply(const std::string& text) {
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value reply;
  std::string problem;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &reply,
                       &problem)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    // Exceeds the nesting limit of jsoncpp
    return std::nullopt;
  }
  if (!reply.isObject() || !reply.isMember("result")) {
    return std::nullopt;
  }
  return ControlFromJson(reply["result"]);
}

}  // namespace jackdawrack
