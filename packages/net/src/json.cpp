#include "net/json.h"

#include <boost/json/src.hpp>

namespace jackdawrack {

std::optional<boost::json::object> ParseJsonObject(const std::string& text) {
  boost::system::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

std::string JsonText(const boost::json::object& object, const char* name) {
  const boost::json::value* member = object.if_contains(name);
  if (member == nullptr || !member->is_string()) {
    return {};
  }
  return std::string(member->as_string());
}

std::uint64_t JsonNumber(const boost::json::object& object,
                         const char* name,
                         std::uint64_t fallback) {
  const boost::json::value* member = object.if_contains(name);
  if (member == nullptr) {
    return fallback;
  }
  boost::system::error_code error;
  const auto number = member->to_number<std::uint64_t>(error);
  return error ? fallback : number;
}

}  // namespace jackdawrack
