#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>

namespace jackdawrack {

/// Parses a JSON object. Returns nothing if `text` is not valid JSON or not an
/// object.
[[nodiscard]] std::optional<boost::json::object> ParseJsonObject(
    const std::string& text);

/// Returns the string member `name`, or an empty string if it is missing or not
/// a string.
[[nodiscard]] std::string JsonText(const boost::json::object& object,
                                   const char* name);

/// Returns the unsigned integer member `name`, or `fallback` if it is missing
/// or not an unsigned 64-bit integer.
[[nodiscard]] std::uint64_t JsonNumber(const boost::json::object& object,
                                       const char* name,
                                       std::uint64_t fallback = 0);

}  // namespace jackdawrack
